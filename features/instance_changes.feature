Feature: The leader changes instances through the platform

  Scenario Outline: A call for maintenance without a final answer
    # Guards against more instances down than a wave allows: the first call
    # was executed, its answer was lost, and the repeated call was refused.
    Given a leader with a wave of 2 instances, one at a time
    When the platform executes the first call without an answer
    And it answers "<outcome>" to the repeated call
    Then no call for the other instance is sent
    When it answers "done" to the repeated call
    Then the first instance is down for the wave

    Examples:
      | outcome  |
      | unknown  |
      | limited  |
      | fenced   |
      | not_sent |
      | busy     |

  Scenario Outline: A call was refused before or after one without an answer
    # Guards against a place in a wave that is given up although the call
    # without an answer may have been executed (review/9).
    Given a leader with a wave of 2 instances, one at a time
    When the platform executes the first call without an answer
    And it answers "<outcome>" to the repeated call
    And it answers "busy" to the repeated call
    Then no call for the other instance is sent
    And the first instance is "begun" in the wave

    Examples:
      | outcome |
      | limited |
      | unknown |

  Scenario: The first call is refused, as the instance is busy
    # Guards against a wave that waits for an instance of which the platform
    # has said that it is not taken down.
    Given a leader with a wave of 2 instances, one at a time
    When the platform answers "busy" to all calls for 2 s
    Then both instances have been called

  Scenario Outline: An instance is busy for another cause
    # Guards against a wave that is late because an instance that is down, or
    # whose worker leaves, keeps the place that a call without an answer took,
    # and against a place that is given up while that call may be executed.
    Given a leader with a wave of 2 instances, one at a time
    When the platform answers no call for 1 s
    And it answers "busy" from then on while the first instance is <state>
    Then no call for the other instance is sent within 2.5 s
    But the other instance has been called 3 s later
    And the first instance is "waiting" in the wave

    Examples:
      | state           |
      | down            |
      | up and leaving  |

  Scenario: The answer to a call cannot be recorded
    # Guards against a place that is given up while the instance is being
    # maintained, as the log did not commit that the call was answered.
    Given a leader with a wave of 2 instances, one at a time
    When the platform answers "busy" to all calls for 2 s
    And it answers "done" to a call and the log commits no answer
    Then no call for another instance is sent while that one is down

  Scenario: An instance goes for good while its call is without an answer
    # Guards against a wave that never ends because an instance that no longer
    # exists keeps its place.
    Given a leader with a wave of 2 instances, one at a time
    When the platform answers no call for 1 s
    And the first instance leaves the fleet without further answers
    Then the first instance is "gone" in the wave within 8 s

  Scenario Outline: The leader changes while a call is without an answer
    # Guards against a leader that does not know of the calls of its
    # predecessor and begins more maintenance than the wave allows.
    Given a leader with a wave of 2 instances, one at a time
    When the platform executes the first call without an answer
    And it answers "busy" to the repeated call
    And another leader takes over <count> times
    Then no call for the other instance is sent while the first is down
    When it answers "done" to the repeated call
    Then the first instance is down for the wave

    Examples:
      | count |
      | 1     |
      | 2     |

  Scenario: An instance is in two waves
    # Guards against a call for the second wave while one for the first is
    # without an answer: its refusal gave tasks to a worker that is about to
    # end.
    Given a leader with a wave of 2 instances, one at a time
    And a second wave of the first instance
    When the platform answers no call for 1 s
    Then the first instance has only been called for one wave
    When both waves go on
    Then each of them is completed within 20 s

  Scenario Outline: An instance is missing from the list of the platform
    # Guards against a wave that counts an instance as gone, and is complete
    # without its maintenance, because its row was damaged once, and against a
    # wave that never is complete because the list has an odd row of another
    # writer.
    Given a leader with a wave of 2 instances, one at a time
    When the list lacks the first instance and has <rows> rows
    Then the first instance is "<phase>" in the wave

    Examples:
      | rows             | phase   |
      | only readable    | gone    |
      | unreadable       | waiting |
      | its unreadable   | waiting |
      | other unreadable | gone    |

  Scenario Outline: A list of the platform misses an instance that stays
    # Guards against a wave that is complete without the maintenance of an
    # instance that was missing from a list once: lists are read in pages while
    # instances change.
    Given a leader with a wave of 2 instances, one at a time
    When the first instance is missing from <lists>
    Then the first instance is "waiting" in the wave

    Examples:
      | lists                              |
      | one list                           |
      | two lists with a whole one between |

  Scenario: An instance joins the fleet right before its wave
    # Guards against a wave that is complete without the maintenance of an
    # instance that is newer than the list in use.
    Given a leader with a wave of 2 instances, one at a time
    When another instance joins and a wave for it is requested
    Then it is not "gone" in its wave

  Scenario: A new leader finds maintenance that has begun
    # Guards against two leaders that call the platform for one instance in
    # turns: the previous leader repeated its call until it lost its lease.
    Given a leader with a wave of 2 instances, one at a time
    When the platform executes the first call without an answer
    And another leader takes over 10 seconds later
    Then it sends no call for 3 seconds
    And then it repeats the call for the first instance

  Scenario: The leader loses its lease between the commit and the call
    # Guards against a paused leader that calls the platform beside its
    # successor.
    Given a leader with a wave of 2 instances, one at a time
    When it loses its lease when the call is about to be sent
    Then the call is not permitted

  Scenario: A job arrives while the move of an idle instance is committed
    # Guards against a task that starts on an instance right before its move
    # ends everything on it.
    Given a leader with 3 idle workers and a spare pool
    When a job for all workers arrives while a move is committed
    Then no task is assigned to the worker that moves

  Scenario: The log does not commit a move
    # Guards against workers that get no tasks any more because a move was
    # planned once.
    Given a leader with 3 idle workers and a spare pool
    When the log commits no move
    Then the platform is not called and all workers get tasks

  Scenario: The platform does not answer a move and does not execute it
    # Guards against workers that get no tasks any more after one lost answer,
    # and against tasks on an instance that a slow platform still moves.
    Given a leader with 3 idle workers and a spare pool
    When the platform answers no move for 3 s
    Then one worker gets no tasks
    When the list still shows all instances in their pool 2 s later
    Then all workers get tasks

  Scenario: The answer to a move says that it is done
    # Guards against the end of a worker that is up, because a move that was
    # done before is answered in the same way as one that ends a worker.
    Given a leader with 3 idle workers and a spare pool
    When a move is answered as done while the list shows the worker
    Then all workers are still known
    When the list shows the moved instance in the spare pool
    Then one worker has ended

  Scenario: A move is given up after 2 s and may still be executed
    # Guards against tasks on an instance whose move, which got no answer, is
    # executed later: the time was counted from the plan.
    Given a leader with 3 idle workers and a spare pool
    When a move is given up without an answer after 2 s
    Then one worker gets no tasks 3 s later
    And all workers get tasks 4 s later

  Scenario: A background task fails
    # Guards against a process that goes on without one of its tasks after an
    # unexpected error.
    Given a background task that fails at its first start
    When it runs for a second
    Then it has been started again
