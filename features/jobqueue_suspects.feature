Feature: Tasks that are suspected of crashing a worker still run

  Scenario: A suspect gang that needs more than half of the workers
    # Guards against a gang that waits for ever: its own isolated tasks use up
    # the limit of isolated workers before all of them have one.
    Given a leader with 6 workers
    And a submitted gang of 4 tasks that each fill a worker
    When all its workers have crashed once at its start
    Then the gang starts again within 10 s

  Scenario Outline: A suspect in a pool that small tasks keep full
    # Guards against a suspect that waits for ever: no worker is reserved for
    # it, and a worker on which nothing has started just now never comes.
    Given a pool of <workers> workers that small tasks keep full
    When a <kind> task of <cores> cores under which <crashes> workers crashed is waiting
    Then it starts within 10 s

    Examples: suspects
      | workers | kind         | cores | crashes |
      | 2       | long-running | 6     | 0       |
      | 2       | long-running | 6     | 1       |
      | 6       | long-running | 6     | 1       |
      | 6       | long-running | 2     | 2       |
      | 6       | plain        | 2     | 2       |

  Scenario Outline: A long-running task crashes its workers after seconds
    # Guards against a task that outlives its isolation until the isolation has
    # grown enough, and is started more than twice after three crashes.
    When long-running tasks crash their workers <delay> s after each start
    Then such a task starts at most twice after three crashes

    Examples: delays
      | delay |
      | 2.5   |
      | 4     |

  Scenario: A task crashes its workers after a moment while leaders change
    # Guards against a crash that counts as that of several tasks, because a
    # new leader takes all runs on the worker for ones that have just started.
    When plain tasks crash their workers 0.35 s after each start
    And the leader changes every 9 s
    Then such a task starts at most twice after three crashes

  Scenario: Workers crash after a leader change under a task that has run long
    # Guards against a job that fails because a new leader takes a run that it
    # has just heard of for one that has just started.
    Given a leader with 3 workers
    And a long-running task that was suspect in one crash
    When 2 times the leader changes after 60 s and the worker of the task crashes
    Then its job has not failed

  Scenario: Every fourth job has a task that crashes its workers
    # Guards against innocent suspects that wait behind each other for most of
    # a minute, while half of the pool is idle.
    When plain tasks crash their workers 0.01 s after each start
    And every fourth job has such a task
    Then such a task starts at most twice after three crashes
    And each job with such a task has failed and all others are completed

  Scenario: Workers crash one after the other under long-running tasks
    # Guards against long-running tasks that are given up although workers
    # crash for another reason, one of six every 2.2 s (review/5).
    When one worker crashes every 2.2 s under 18 long-running tasks
    Then no sound long-running task is away at the end
    And none was given up
