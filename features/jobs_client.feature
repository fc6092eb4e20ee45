Feature: Operators list, explain and cancel jobs

  Scenario: A waiting job is listed, explained and cancelled
    # Guards against an operator who cannot tell why a job does not start.
    Given one node with a queue whose pool has no worker
    When a job of 3 tasks is submitted to it
    Then the client lists the job as queued
    And the client says that its pool has no open worker
    When the client cancels the job
    Then the client shows the job as cancelled without reasons
    And the client finds no job with another id

  Scenario Outline: The reason says what a waiting task needs
    # Guards against an explanation that reports a lack of capacity for a task
    # that waits for another step.
    Given a leader with 1 worker
    And <job> that waits
    Then the reason is "<reason>"

    Examples:
      | job                           | reason                        |
      | a job above the capacity      | has room for 12 cores         |
      | a second step                 | steps 0 have not ended        |
      | a job for an unknown label    | no open worker has the label  |
      | a job due in 60 seconds       | occurrence 0: due in          |

  Scenario: A client that is called without a node names the option
    # Guards against a traceback instead of a remedy.
    When the client is called without a node
    Then it names the option that is missing
