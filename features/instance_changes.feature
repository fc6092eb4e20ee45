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

  Scenario: A background task fails
    # Guards against a process that goes on without one of its tasks after an
    # unexpected error.
    Given a background task that fails at its first start
    When it runs for a second
    Then it has been started again
