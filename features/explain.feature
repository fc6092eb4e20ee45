Feature: The logs explain what became of a job

  Scenario: A late job with a lost run
    # Guards against an explanation in which lines of other jobs and processes
    # hide the cause.
    Given logs of three processes about a job whose first run was lost
    When the job is explained
    Then its lines come in order of time, with only its own runs
    And the change of the leader between them is shown
    And the conclusion names the wait, the lost run and the end

  Scenario: A job that was never accepted
    # Guards against a refusal whose reason is missing in the explanation.
    Given logs of a job that two nodes refused
    When the job is explained
    Then the conclusion gives the reason "no leader is known"

  Scenario: An unknown job
    # Guards against an empty answer that looks like success.
    Given logs of a job that two nodes refused
    When another job is explained by the command
    Then the command ends with code 8

  Scenario: A log that nobody reads
    # Guards against a node that blocks because nothing reads its log.
    When 200000 lines are written to a pipe that nobody reads
    Then the writer does not wait and says later how many lines it dropped

  Scenario: A kind of line that is logged too often
    # Guards against an unbounded log volume under load, and against a limit
    # that also drops the line about the end of a job.
    When 5000 lines of one kind and 5000 ends of jobs are logged at once
    Then at most 300 of the first and all of the second are kept
