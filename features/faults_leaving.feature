Feature: A leaving target gets no new work after 3 s

  Scenario: A target leaves under load
    # Guards against an entry that keeps sending requests under an old grant.
    Given a trial with 3 control, 3 entry and 6 target processes
    And 400 requests at 100 per second, half of them keyed
    When 100 answers have come and the target "worker-2" leaves
    Then the ledgers show no violation
    And "worker-2" started no work later than 3 s after it left
    And every request was answered

  Scenario: An entry that is cut off while a target leaves
    # Guards against a partitioned entry that is not told of the leaving
    # target and keeps using its grants.
    Given a trial with 3 control, 3 entry and 6 target processes behind proxies
    And 400 requests at 100 per second, half of them keyed
    When 100 answers have come and "entry-1" is cut off from everyone
    And the target "worker-2" leaves
    Then the ledgers show no violation
    And "worker-2" started no work later than 3 s after it left

  Scenario: An entry that was paused while a target left
    # Guards against a resumed entry that uses grants from before its pause.
    Given a trial with 3 control, 3 entry and 6 target processes
    And 400 requests at 100 per second, half of them keyed
    When 100 answers have come and "entry-1" is paused
    And the target "worker-2" leaves
    And "entry-1" is resumed after its grants have expired
    Then the ledgers show no violation
    And "worker-2" started no work later than 3 s after it left
