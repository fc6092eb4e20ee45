Feature: Documents are accepted once, in order, and come into force

  Scenario: All problems of a document at once
    # Guards against a check that stops at the first kind of problem, so that
    # an operator needs several submissions to learn of all of them.
    When a document with 3 invalid values and 4 contradictions is checked
    Then 7 document problems are reported with path and remedy

  Scenario: A document that the fleet can never meet
    # Guards against an accepted commitment that no placement can ever meet.
    Given a control state with 6 instances in mx-1 and mx-2
    When a document asks for 9 instances in mx-1 and mx-9
    Then it is rejected with 2 reasons and stays without a revision

  Scenario: A document that cannot be met now
    # Guards against the rejection, while instances are lost, of a document
    # that the whole fleet can meet.
    Given a control state with 6 instances in mx-1 and mx-2
    When 2 instances are lost and a document asks for 5 instances
    Then it is accepted with a warning

  Scenario: Two operators edit the same revision
    # Guards against a change that is overwritten without notice.
    Given a control state with 6 instances in mx-1 and mx-2
    When two operators submit different documents on base revision 0
    Then the first is revision 1 and the second a conflict with its difference

  Scenario: A submission is repeated after its answer was lost
    # Guards against a resent submission that gets a second revision or
    # conflicts with its own first attempt, also through a new leader.
    Given a control state with 6 instances in mx-1 and mx-2
    When a submission is repeated after another revision and a failover
    Then the repeat gets the first answer and changes nothing
    And its id with another document is refused

  Scenario: A replica restored from a snapshot behaves like the others
    # Guards against state that a snapshot leaves out, which is noticed only
    # once the restored replica leads.
    When random commands are applied with restores in between
    Then both replicas give the same results and snapshots

  Scenario: Leases of the previous leader
    # Guards against a new leader that takes an entry's slots or declares a
    # revision in force while an old lease still runs.
    Given a lease table that starts at second 100 with 3 registered entries
    Then no lease counts as expired before second 102
    When entry-1 and entry-2 acknowledge index 7 at second 101
    Then index 7 is not in force at second 101 because entry-3 lags
    And index 7 is in force at second 102.5 without entry-3

  Scenario: An entry that lost its lease before the leader changed
    # Guards against documents that wait two seconds, after each change of the
    # leader, for an entry whose lease expired an hour ago.
    Given a lease table that starts at second 100 with 3 registered entries
    And the replicated state has entry-3 as not live
    When entry-1 and entry-2 acknowledge index 7 at second 101
    Then index 7 is in force at second 101 without entry-3

  Scenario: A minority never brings a revision into force
    # Guards against a revision in force that most entries do not have, so
    # that entries serving without control could use an older one.
    Given a lease table that starts at second 100 with 3 registered entries
    When only entry-1 acknowledges index 7 at second 104
    Then index 7 is not in force at second 104.5

  Scenario: Entries without control have every revision in force
    # Guards against a majority of entries that serves without control under
    # an older revision than the one in force.
    When entries renew, pause and lose replies at random
    Then every majority of entries holds each revision that was in force
