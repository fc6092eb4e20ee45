Feature: Gangs, periodic jobs and the removal of ended jobs

  Scenario: One member of a gang reports that the gang is done
    # Guards against a second run of a gang that has completed: the worker of
    # another member is lost before it reports the end.
    Given a leader with 3 workers that run a gang of 3 tasks
    When one member reports that it is done and the other workers are lost
    Then the job is completed and no task waits

  Scenario: Several members of a gang report that one run failed
    # Guards against a gang that is given up too early, because each report
    # counts, or too late, because another member fails each time.
    Given a leader with 3 workers that run a gang of 3 tasks
    When the members fail in these runs
      | run | failed members |
      | 1   | 0 1            |
      | 2   | 2              |
    Then the gang runs again
    When the members fail in these runs
      | run | failed members |
      | 3   | 1 2            |
    Then the job has failed

  Scenario: The members of a gang report different checkpoints
    # Guards against a gang whose members resume from different points.
    Given a leader with 3 workers that run a gang of 3 tasks
    When the run is stopped and two members report a checkpoint
    Then all members resume from the last reported checkpoint

  Scenario: One member of a gang loses its worker before the start
    # Guards against members that start and wait for one that does not.
    Given a leader with 3 workers to which a gang of 3 tasks is assigned
    When one of the workers drains
    Then no member of the gang is assigned

  Scenario: A periodic job was submitted long ago
    # Guards against occurrences that always count as late, because the
    # deadline counts from the submission, and so wait behind all other work.
    Given a leader with 1 worker
    When the second occurrence of a job becomes due after 60 s
    Then it comes before a job that was submitted later

  Scenario: Long-running jobs are the oldest ones
    # Guards against ended jobs that are kept for ever, because the oldest
    # jobs never end.
    Given a leader with 1 worker
    And 5 long-running jobs
    When 100 jobs are submitted and cancelled, one every 10 s
    Then at most 25 jobs are kept
    And a replica restored from a snapshot removes the same jobs
