Feature: Slots of a target are shared by many entries

  Scenario: Random faults of entries and targets
    # Guards against more than 8 running requests at a target while entries
    # are killed, isolated, removed or added, against new work at a target
    # that announced more than 3 s ago that it leaves, and against work that
    # ran but is reported as not-run.
    Given 25 random schedules of entry and target faults
    When the schedules are replayed at 0.9 load
    Then no target exceeded its slots or started work late

  @soak
  Scenario: Many random faults of entries and targets
    # Guards against the failures of the scenario above on rarer schedules.
    Given 500 random schedules of entry and target faults
    When the schedules are replayed at 0.9 load
    Then no target exceeded its slots or started work late

  Scenario Outline: Changes of the slot owner that once exceeded the slots
    # Each schedule made a target run more than its slots before its fix. The
    # first three guard against an earlier owner that drops requests from its
    # records because their holder already reports to the next set of
    # entries, against an owner that returns with outdated records, and
    # against a new owner that relies on reports alone. The next two guard
    # against requests that were given up after the target's last report and
    # so are unknown to the new owner, and against an owner that uses its
    # outdated records, or an idle slot in them, once its lease is back. The
    # sixth guards against an owner that takes the work of one entry for that
    # of another, whose report then frees the slot, and the last against a new
    # owner that does not wait for the report of an entry that is leaving.
    When the recorded schedule of a <change> is replayed
    Then no target exceeded its slots or started work late

    Examples:
      | change                                |
      | planned leave of the owner            |
      | return of an isolated owner           |
      | leave while a target hangs            |
      | cancellation before an owner returns  |
      | lease that returns after an isolation |
      | report after a target hung            |
      | work of an entry that left            |
