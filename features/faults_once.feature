Feature: Non-idempotent work runs at most once
  Callers with a key retry through other entries until they know the outcome.
  The verdict compares the ledgers that callers and targets write themselves.

  Scenario: An entry is killed
    # Guards against a retry through another entry that runs work a second
    # time: its first attempt was in flight when its entry was killed.
    Given a trial with 3 control, 3 entry and 6 target processes
    And 300 requests at 100 per second, half of them keyed
    When 100 answers have come and "entry-2" is killed
    And "entry-2" starts again
    Then the ledgers show no violation
    And every request without a key was answered

  Scenario: The control leader is killed
    # Guards against a granted claim that the new leader does not know.
    Given a trial with 3 control, 3 entry and 6 target processes
    And 300 requests at 100 per second, half of them keyed
    When 100 answers have come and the control leader is killed
    Then the ledgers show no violation
    And every request was answered

  Scenario: Entry and control leader are killed together
    # Guards against two failures that are each tolerated but not together.
    Given a trial with 3 control, 3 entry and 6 target processes
    And 300 requests at 100 per second, half of them keyed
    When 100 answers have come and the control leader is killed
    And "entry-1" is killed
    Then the ledgers show no violation
    And every request without a key was answered

  Scenario: A target is killed while it runs work
    # Guards against keyed work that is sent to a second target after the
    # first was killed while it ran the work.
    Given a trial with 3 control, 3 entry and 6 target processes
    And 300 requests at 100 per second, half of them keyed
    When 100 answers have come and "worker-3" is killed
    Then the ledgers show no violation
    And every request without a key was answered

  Scenario: A target closes the connection after it ran a keyed PUT
    # Guards against an HTTP client library that repeats PUT and other
    # idempotent methods by itself when a kept-alive connection is closed.
    Given a trial with 3 control, 1 entry and 6 target processes
    When every target runs each request and then closes its connection
    And 20 keyed requests are sent with the method PUT
    Then the ledgers show no violation

  Scenario: The control leader is paused until another one leads
    # Guards against a resumed leader that answers claims or renewals although
    # another process leads by then.
    Given a trial with 3 control, 3 entry and 6 target processes
    And 500 requests at 100 per second, half of them keyed
    When 100 answers have come and the control leader is paused
    And another control process leads and the paused one is resumed
    Then the ledgers show no violation
    And every request was answered

  Scenario: Messages to control arrive twice
    # Guards against a claim that is granted twice, or refused to the entry
    # that holds it, because its message was delivered twice.
    Given a trial with 3 control, 3 entry and 6 target processes behind proxies
    When each message to control is delivered twice
    And 200 requests at 100 per second, half of them keyed
    Then the ledgers show no violation
    And every request was answered

  Scenario: Connections to targets are cut at bytes of each stage
    # Guards against a retry after bytes have reached a target, and against a
    # truncated response that looks complete to its caller.
    Given a trial with 3 control, 3 entry and 6 target processes behind proxies
    When 100 requests are sent while each link has its fault
      | target   | fault           | byte |
      | worker-1 | cuts requests   | 1    |
      | worker-2 | cuts requests   | 400  |
      | worker-3 | resets requests | 700  |
      | worker-4 | cuts answers    | 1    |
      | worker-5 | cuts answers    | 150  |
      | worker-6 | resets answers  | 300  |
    Then the ledgers show no violation
    And every request without a key was answered

  @soak
  Scenario: Random faults for a minute
    # Guards against combinations of faults that the scenarios above do not
    # contain. Each run of make soak uses another seed.
    Given a trial with 3 control, 4 entry and 6 target processes behind proxies
    When 6000 requests at 100 per second are sent under random faults
    Then the ledgers show no violation
