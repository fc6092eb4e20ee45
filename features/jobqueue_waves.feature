Feature: Maintenance waves end in time

  Scenario Outline: Long-running tasks of a busy pool may move only one at a time
    # Guards against a wave that is late because the evacuation of its last
    # instances begins too late: at most a few tasks of a step may restart at
    # the same time, however many instances may be down.
    Given a leader with 14 workers that always has waiting work
    And a long-running step of 12 tasks of which <missing> may be unavailable
    When a wave of the instances with these tasks is due in <due> s
    Then all of them are maintained by then
    And at most <missing> of the tasks were unavailable at any time

    Examples:
      | missing | due |
      | 1       | 30  |
      | 2       | 20  |
      | 4       | 12  |

  Scenario: A busy pool keeps its instances until they are due
    # Guards against a wave that takes instances from a pool with waiting work
    # long before its deadline requires it.
    Given a leader with 14 workers that always has waiting work
    And a long-running step of 12 tasks of which 2 may be unavailable
    When a wave of the instances with these tasks is due in 60 s
    Then all workers still get tasks after 30 s

  Scenario: A new leader finds maintenance that its predecessor has begun
    # Guards against a leader that repeats the calls of its predecessor at once
    # and ends more tasks of a step than may be unavailable.
    Given a leader with 14 workers that always has waiting work
    And a long-running step of 12 tasks of which 2 may be unavailable
    When the maintenance of all instances with these tasks has begun
    And another leader takes over
    Then all of them are maintained within 30 s
    And at most 2 of the tasks were unavailable at any time
    And all workers get tasks again

  Scenario: A new leader finds a task that its predecessor has told to stop
    # Guards against a leader that stops more tasks of a step than may be
    # unavailable: a heartbeat lists a task as available until it has stopped,
    # and only the leader that ordered the stop knows about it.
    Given a leader with 14 workers that always has waiting work
    And a long-running step of 12 tasks of which 1 may be unavailable
    When a worker needs 0.9 s to stop a task for a wave
    And another leader takes over
    Then all of them are maintained within 60 s
    And at most 1 of the tasks were unavailable at any time

  Scenario: A new leader gets a late heartbeat of a worker that was taken down
    # Guards against a leader that takes down more tasks of a step than may be
    # unavailable: the worker was taken down by the predecessor, and its last
    # heartbeat, which lists its tasks as available, arrives afterwards.
    Given a leader with 14 workers that always has waiting work
    And a long-running step of 12 tasks of which 2 may be unavailable
    When an instance is taken down and another leader takes over
    And a late heartbeat of its worker arrives
    Then all of them are maintained within 40 s
    And at most 2 of the tasks were unavailable at any time
