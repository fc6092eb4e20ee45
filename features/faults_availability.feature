Feature: Services stay available through maintenance and failures

  Scenario: A maintenance wave under load
    # Guards against a wave that takes capacity before its work has ended.
    Given a trial with 3 control, 3 entry and 9 target processes
    And 600 requests at 50 per second, half of them keyed
    When the platform takes "worker-1" and "worker-2" in turn
    Then both were drained before they went down
    And the ledgers show no violation
    And no caller saw a broken connection
    And every request was answered

  Scenario: A rack is lost at once, and another instance after the repair
    # Guards against a second loss that meets a pool without reserve.
    Given a trial with 3 control, 3 entry and 9 target processes
    And 600 requests at 60 per second, half of them keyed
    When "worker-1" and "worker-4" are killed together
    And they return and "worker-2" is killed
    Then the ledgers show no violation
    And every request without a key was answered

  Scenario: A data centre is lost at once
    # Guards against entries, control and targets that each tolerate a loss
    # but not the loss of all that stand in one place.
    Given a trial with 3 control, 3 entry and 9 target processes
    And 300 requests at 60 per second, half of them keyed
    When everything in data centre "mx-2" is killed
    Then the ledgers show no violation
    And every request without a key was answered
    When everything in data centre "mx-2" starts again
    Then its entry becomes ready and a new document comes into force

  Scenario: Targets that fail in each way
    # Guards against a target that looks idle because it fails, and so
    # attracts all work.
    Given a trial with 3 control, 3 entry and 6 target processes
    When 150 requests are sent while each target has its fault
      | target   | fault                   |
      | worker-1 | fail everything         |
      | worker-2 | accept and never answer |
      | worker-3 | answer slowly           |
      | worker-4 | cut its responses       |
      | worker-5 | lie about running work  |
    Then the ledgers show no violation
    And every request without a key was answered
    And most keyed requests were answered

  Scenario: A thousand callers cancel at once
    # Guards against counters and slots that stay taken after a wave.
    Given a trial with 3 control, 3 entry and 6 target processes
    When 1000 callers send work of 2 s and all cancel
    Then the targets are idle and new work is answered
    And the ledgers show no violation

  Scenario: Control has lost its majority
    # Guards against keyed work that runs without a claim, and against a
    # deployment that stops answering other work.
    Given a trial with 3 control, 3 entry and 6 target processes
    When two control processes are killed and the leases are over
    Then unkeyed work is answered and keyed work is told not-run
    And the ledgers show no violation
