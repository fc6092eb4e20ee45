Feature: Pools get instances of the kinds and sizes that their tasks need

  Scenario Outline: The workers of a pool cannot run a waiting task
    # Guards against a task that waits without end, because its pool has as
    # many workers as its load needs, but none that can run it.
    Given a leader with 3 workers and a spare pool of mixed instances
    When a job arrives whose <count> tasks need <need>
    Then <moves> instances move to the pool, all of them <kind>
    And no more move to it while these are on their way

    Examples:
      | count | need              | moves | kind             |
      | 1     | a worker of kind b | 1    | of kind b        |
      | 20    | a worker of kind b | 3    | of kind b        |
      | 1     | 32 cores          | 1     | with 32 cores    |
      | 1     | an accelerator    | 1     | with accelerators |

  Scenario: The instance that a task needs is idle in another pool
    # Guards against a task that waits while the only instance that can run it
    # does nothing elsewhere.
    Given a leader with 3 workers and a spare pool of mixed instances
    And another pool with 3 idle workers, one of them of kind c
    When a job arrives whose 1 tasks need a worker of kind c
    Then 1 instances move to the pool, all of them of kind c

  Scenario: Few tasks of a long-running step may run on one worker
    # Guards against a long-running task that never runs again after it was
    # stopped for maintenance: all open workers had as many tasks of its step
    # as they may have, and the pool got no other worker.
    Given a leader with 3 workers and a spare pool of mixed instances
    When a long-running job of 10 tasks arrives, at most 2 on a worker
    Then 2 instances move to the pool
    And a running task fits on no other worker of the pool

  Scenario Outline: A job that is larger than the workers of its pool
    # Guards against a job that is refused although an instance of the spare
    # pool can run it, and against one that waits for an instance that does
    # not exist.
    Given a leader with 3 workers and a spare pool of mixed instances
    Then a job with a task of <cores> cores is <verdict>

    Examples:
      | cores | verdict  |
      | 32    | accepted |
      | 64    | refused  |
