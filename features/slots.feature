Feature: Slots of a target are shared by many entries

  Scenario: Random faults of entries and targets
    # Guards against more than 8 running requests at a target while entries
    # are killed, cut off, removed or added, against new work at a leaving
    # target after 3 s, and against a false not-run.
    Given 25 random schedules of entry and target faults
    When the schedules are replayed at 0.9 load
    Then no target ran more than its slots or started work late

  @soak
  Scenario: Many random faults of entries and targets
    # Guards against the same on rarer schedules.
    Given 500 random schedules of entry and target faults
    When the schedules are replayed at 0.9 load
    Then no target ran more than its slots or started work late

  Scenario Outline: Changes of the owner that once overran a target
    # Guards against an earlier owner that takes work out of its books because
    # a holder reports under the next set, against one that returns with old
    # books, and against a new owner that trusts reports alone. The last two
    # guard against work that was given up after the target's last count and
    # that the new owner never heard of, and against an owner that uses its
    # old books or an idle slot of them when its lease is back.
    When the recorded schedule of a <change> is replayed
    Then no target ran more than its slots or started work late

    Examples:
      | change                                |
      | planned leave of the owner            |
      | return of an isolated owner           |
      | leave while a target hangs            |
      | cancellation before an owner returns  |
      | lease that returns after an isolation |
