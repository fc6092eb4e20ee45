Feature: Tasks that crash the workers that start them

  Scenario Outline: A task crashes each worker that starts it
    # Guards against a task that takes down one worker after the other: a run
    # that was lost in a crash counted nowhere, so nothing limited its starts.
    When <kind> tasks crash their workers <delay> s after each start
    And the workers return under <id>
    Then such a task starts at most twice after three crashes
    And each job with such a task has failed and all others are completed

    Examples: kinds
      | kind         | delay | id                 |
      | plain        | 0.01  | a new id           |
      | plain        | 0.01  | the same id        |
      | plain        | 0.35  | a new id           |
      | plain        | 0.01  | a new id, unlisted |
      | gang         | 0.01  | a new id           |

  Scenario Outline: A long-running task crashes each worker that starts it
    # Guards against a verdict on one task that stops the sound ones of its
    # step, without a look at how many may be unavailable (review/5).
    When long-running tasks crash their workers <delay> s after each start
    Then such a task starts at most twice after three crashes
    And such tasks are not started any more and the others of their jobs run

    Examples: delays
      | delay |
      | 0.01  |
      | 1     |

  Scenario: A worker crashes again and again under one of several tasks
    # Guards against the same, with crashes that have another cause (review/5).
    Given a leader with 8 workers
    And a long-running job of 5 tasks of which 1 may be unavailable
    When 5 times the worker of its first task crashes 5 s after the start
    Then none of its other tasks was stopped and its job is running

  Scenario Outline: Crashes under a long-running task that have another cause
    # Guards against blame that only grows: a task that has done no harm is
    # not started again within seconds (review/5).
    Given a long-running task under which 3 workers crashed
    When a worker crashes under it after <age> s, <surroundings>
    Then <count> crashes are counted for it

    Examples: surroundings
      | age | surroundings                                 | count |
      | 5   | alone                                        | 4     |
      | 5   | and one more at the same moment              | 4     |
      | 5   | and two more at the same moment              | 3     |
      | 5   | while a worker crashes every 12 s            | 3     |
      | 0.2 | while a worker crashes every 12 s            | 4     |
      | 0.2 | and two more at the same moment              | 4     |
      | 11  | alone                                        | 0     |

  Scenario: A task crashes its workers while leaders change
    # Guards against crashes that are counted by one leader only.
    When plain tasks crash their workers 0.01 s after each start
    And the leader changes every 9 s
    Then such a task starts at most twice after three crashes
    And each job with such a task has failed and all others are completed

  Scenario: Workers crash by themselves
    # Guards against jobs that fail because their tasks ran on workers that
    # crashed for another reason.
    When the workers of one rack crash at 3, 7 and 12 s
    Then all jobs are completed

  Scenario: Workers crash by themselves and under tasks
    # Guards against tasks that are blamed for the crashes of others.
    When plain tasks crash their workers 0.01 s after each start
    And the workers of one rack crash at 3, 7 and 12 s
    Then such a task starts at most twice after three crashes
    And each job with such a task has failed and all others are completed

  Scenario Outline: Which ends of a worker count as crashes
    # Guards against tasks that are given up after ends that they have not
    # caused: planned ones, and those that may be no end at all.
    Given a leader with 1 worker
    And a submitted job of 2 tasks
    When the worker has started them and <event>
    Then <count> crashes are counted for each task

    Examples: events
      | event                                       | count |
      | ends while it is up                         | 1     |
      | returns under its id                        | 1     |
      | ends while it drains                        | 0     |
      | ends while it shuts down                    | 0     |
      | ends while its instance is taken down       | 0     |
      | ends after a call of the leader before      | 0     |
      | its lease expires                           | 0     |
      | does not list them                          | 0     |

  Scenario: Crashes are kept in snapshots and by later leaders
    # Guards against a count that a leader change or a restart resets.
    Given a leader with 3 workers
    And a submitted job of 1 task
    When two workers have crashed under the task
    And the state is restored from its snapshot
    Then 2 crashes are counted, and one more ends the job as failed
    And the client is told how many workers crashed

  Scenario: Entries of earlier builds are read
    # Guards against a replica that cannot read a log or a snapshot without
    # crashes.
    Given a leader with 1 worker
    And a submitted job of 2 tasks
    When the worker has started them and an earlier build reports them lost
    Then 0 crashes are counted for each task

  Scenario: A capacity that shrinks and grows
    # Guards against starts beyond the capacity that a worker has left, also
    # of tasks that were assigned before it shrank.
    Given a leader with 1 worker
    And a submitted job of 10 tasks
    When the worker runs 8 of them and its capacity shrinks to 4 cores
    Then it is given no task and has -4 cores free
    When its capacity grows to 16 cores
    Then it is given the other tasks

  Scenario: A job submitted while capacities are small
    # Guards against a job refused for ever because the capacity of workers is
    # smaller than usual for a while.
    Given a leader with 1 worker
    When its capacity shrinks to 4 cores
    Then a job with a task of 10 cores is accepted
