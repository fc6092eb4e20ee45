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
      | long-running | 0.01  | a new id           |
      | gang         | 0.01  | a new id           |

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
