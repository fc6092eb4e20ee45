Feature: Entries serve on when control is lost, never under an old revision

  Scenario Outline: Which entries serve without a lease
    # Guards against entries that all stop serving when control is lost, and
    # against a partitioned minority that serves under an older revision.
    Given 5 registered entries
    When entry 1 at index <own> receives <reports>
    Then entry 1 <decision>

    Examples:
      | own | reports                          | decision       |
      | 7   | 2:no-lease@7 3:no-lease@7        | may serve      |
      | 7   | 2:no-lease@7                     | may not serve  |
      | 7   | 2:no-lease@7 3:no-lease@8        | may not serve  |
      | 7   | 2:no-lease@7 3:lease@7           | may not serve  |
      | 7   | 2:no-lease@7 3:no-lease@7:stale  | may not serve  |
      | 7   | 2:no-lease@7 9:no-lease@7        | may not serve  |
      | 7   | 2:no-lease@7 3:no-lease@0        | may not serve  |
      | 0   | 2:no-lease@0 3:no-lease@0        | may not serve  |

  Scenario: A serving entry has every revision in force
    # Guards against a quorum rule that lets entries without a lease serve an
    # older revision than the one in force.
    Then for random entry sets, acknowledgements and reports an entry that serves has every revision in force

  Scenario: The machine of an entry is suspended
    # Guards against a lease that goes on during a suspension, which the
    # monotonic clock does not count, and against a renewed lease that counts
    # as expired for ever after one.
    Given an entry whose machine was suspended for an hour
    When control renews its lease for 2 s
    Then it holds a lease
    When its machine is suspended for 3 s
    Then it holds no lease
