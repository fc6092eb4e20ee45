Feature: Services stay available through maintenance and failures

  Scenario: A maintenance wave under load
    # Guards against a maintenance wave that takes instances down before their
    # running requests have ended.
    Given a trial with 3 control, 3 entry and 9 target processes
    And 600 requests at 50 per second, half of them keyed
    When the platform reboots "worker-1" and "worker-2" in turn
    Then both were drained before they went down
    And the ledgers show no violation
    And no caller saw a broken connection
    And every request was answered

  Scenario: A rack is lost at once, and another instance after the repair
    # Guards against a pool that has no reserve left for a second loss.
    Given a trial with 3 control, 3 entry and 9 target processes
    And 600 requests at 60 per second, half of them keyed
    When "worker-1" and "worker-4" are killed together
    And they return and "worker-2" is killed
    Then the ledgers show no violation
    And every request without a key was answered

  Scenario: A data centre is lost at once
    # Guards against entries, control processes and targets that each tolerate
    # the loss of one, but not the loss of all in one data centre.
    Given a trial with 3 control, 3 entry and 9 target processes
    And 300 requests at 60 per second, half of them keyed
    When every process in data centre "mx-2" is killed
    Then the ledgers show no violation
    And every request without a key was answered
    When every process in data centre "mx-2" starts again
    Then its entry becomes ready and a new document comes into force

  Scenario: Targets that fail in each way
    # Guards against a target that gets most of the work because it fails fast
    # and so looks idle.
    Given a trial with 3 control, 3 entry and 6 target processes
    When 150 requests are sent while each target has its fault
      | target   | fault                   |
      | worker-1 | fail every request      |
      | worker-2 | accept and never answer |
      | worker-3 | answer slowly           |
      | worker-4 | truncate its responses  |
      | worker-5 | misreport running work  |
    Then the ledgers show no violation
    And every request without a key was answered
    And most keyed requests were answered

  Scenario: A thousand callers cancel at once
    # Guards against counters and slots that stay in use after many
    # simultaneous cancellations.
    Given a trial with 3 control, 3 entry and 6 target processes
    When 1000 callers send work of 2 s and all cancel
    Then the targets are idle and new work is answered
    And the ledgers show no violation

  Scenario: Control has lost its majority
    # Guards against keyed work that runs without a claim, and against a
    # deployment that also stops answering unkeyed work.
    Given a trial with 3 control, 3 entry and 6 target processes
    When two control processes are killed and the leases have expired
    Then unkeyed work is answered and keyed work gets the outcome not-run
    And the ledgers show no violation
