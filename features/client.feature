Feature: Operators use one client for everything

  Scenario: Submit and wait until in force
    # Guards against a success that is reported before all entries apply the
    # revision.
    Given a control process with entries entry-1 and entry-2
    When the operator submits the document with --wait
    Then the exit code is 0 and the output says "is in force at 2 entries"

  Scenario: Entries that lag are named
    # Guards against an operator who cannot tell which entry delays a document.
    Given a control process with entries entry-1 and entry-2
    And entry-2 holds a lease and stops acknowledging
    When the operator submits the document with --wait --wait-s 0
    Then the exit code is 11 and the output says "entry-2 lags for"

  Scenario Outline: Exit codes and remedies
    # Guards against scripts that cannot tell one failure from another, and
    # against messages without a remedy.
    Given a control process with entries entry-1 and entry-2
    And revision 1 of the document is accepted
    When the operator runs <command>
    Then the exit code is <code> and the output says "<text>"

    Examples:
      | command                              | code | text                    |
      | submit with base revision 0          | 5    | + $.operations.extra    |
      | submit with the key of another team  | 7    | may not write service   |
      | submit with an unknown key           | 7    | no known team key       |
      | submit of a broken document          | 3    | $.instances             |
      | show of an unknown service           | 8    | no document for service |
      | show through a wrong address first   | 0    | revision 1              |
      | show without any control running     | 9    | Check the addresses     |
      | diff to a changed file               | 12   | + $.operations.extra    |
      | history                              | 0    | submission first        |
      | status as JSON                       | 0    | "entry_epoch"           |
      | report burn                          | 0    | tariff-coding           |
      | report burn of a recorded trace      | 0    | tariff-coding           |
      | report burn of a missing trace       | 2    | missing.jsonl           |
      | check of a broken document offline   | 3    | $.instances             |
      | an unknown command                   | 2    |                         |

  Scenario: Only a leader that has caught up serves entries and operators
    # Guards against a lease, or an older revision, from a replica that does
    # not lead or has not yet applied what the previous leader acknowledged.
    Given a control process with entries entry-1 and entry-2
    When its replica stops leading
    Then renewals and reads are refused
    When its replica leads in another term
    Then renewals are answered again and old leases still count

  Scenario: An entry with a damaged view gets a snapshot
    # Guards against an entry whose view has the right index but the wrong
    # content.
    Given a control process with entries entry-1 and entry-2
    And revision 1 of the document is accepted
    When entry-1 renews with the current index and a wrong digest
    Then it gets the whole view as a snapshot

  Scenario: Unusable documents over HTTP
    # Guards against a server error, or a huge body that is kept in memory.
    Given a control process with entries entry-1 and entry-2
    When empty, huge, deeply nested and wrongly encoded documents are sent
    Then each is answered 400 with one problem and its remedy

  Scenario: A platform notice reaches the planner
    # Guards against a rack that is taken down before its instances are
    # drained.
    Given a control process with entries entry-1 and entry-2
    And entry-1 reports 6 instances
    When the platform announces maintenance of rack rack-0
    Then the reply names the instances of that rack and the planner has it

  Scenario: An entry that leaves keeps its lease until it stops
    # Guards against a planned stop after which the outcomes of running keyed
    # requests are unknown, and against a removed entry that still serves.
    Given a control process with entries entry-1 and entry-2
    When entry-2 claims a key and renews as leaving
    Then entry-2 has a lease, owns no slots and its claim is open
    When the lease of entry-2 ends
    Then entry-2 is no longer registered and its claim is unknown

  Scenario: The leader records submissions, instances and notices
    # Guards against a trace that does not show afterwards why the fleet
    # changed.
    Given a control process with entries entry-1 and entry-2
    And revision 1 of the document is accepted
    And entry-1 reports 6 instances
    When the platform announces maintenance of rack rack-0
    Then the trace holds the submission, 6 announcements and the notice
