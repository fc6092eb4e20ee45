Feature: Entries agree on which targets are present

  Scenario: Suspicion comes before removal
    # Guards against a target that is removed after one lost announcement, or
    # that still gets work long after its last announcement.
    Given 3 entries in 3 data centres that receive announcements of 6 targets
    When worker-0 sends no announcements for 1 seconds
    Then every entry suspects exactly worker-0
    When worker-0 sends no announcements for 2 seconds
    Then every entry has removed exactly worker-0

  Scenario: An announcement of an earlier start
    # Guards against a delayed announcement that brings back the old address
    # of a restarted target.
    Given 3 entries in 3 data centres that receive announcements of 6 targets
    When worker-0 announces itself with incarnation 3 and then with 2
    Then the second announcement is refused and incarnation 3 stays

  Scenario: A leaving target is reported at once
    # Guards against new work for a leaving target until the next interval.
    Given 3 entries in 3 data centres that receive announcements of 6 targets
    When worker-0 announces that it leaves
    Then the entry reports it to everyone without waiting for a tick

  Scenario: An isolated entry does not empty its pools
    # Guards against an isolated entry that removes all targets because it
    # receives no announcements.
    Given 3 entries in 3 data centres that receive announcements of 6 targets
    When entry-0 is cut off from everything for 10 seconds
    Then entry-0 suspects its own targets and has removed none of them

  Scenario: A second data centre confirms a large loss
    # Guards against targets that stay listed forever after a real loss of more
    # than a third of them.
    Given 3 entries in 3 data centres that receive announcements of 6 targets
    When all targets of data centre 0 send no announcements for 10 seconds
    Then every entry has removed exactly the targets of data centre 0

  Scenario: A flapping target stays suspected
    # Guards against a target that gets work again after each short return.
    Given 3 entries in 3 data centres that receive announcements of 6 targets
    When worker-0 pauses its announcements for 1 seconds 4 times
    Then every entry suspects worker-0 although it announces itself
    When all targets announce themselves for 70 seconds
    Then no entry suspects any target

  Scenario: Healthy targets are never suspected at the default interval
    # Guards against an interval at which renewals arrive too late, so that
    # healthy targets get no work and count as flapping.
    When 30 targets announce each second to 12 entries with unequal clocks
    Then no entry has reported any of them as suspected

  Scenario: Lost reports are repaired by digests
    # Guards against an entry whose presence table stays wrong because one
    # report was lost.
    When 20 random schedules lose a third of all reports and then none
    Then all entries hold the same present targets after each schedule

  Scenario: Renewals stay in the target's data centre
    # Guards against traffic that grows with the product of targets and
    # entries.
    Given 3 entries in 3 data centres that receive announcements of 6 targets
    When all targets announce themselves for 30 seconds
    Then no report to everyone carries a target

  Scenario: An entry never goes back to an older revision
    # Guards against a late or stale reply that lowers an applied revision.
    When random renewal replies arrive late, twice and out of order
    Then no reply lowers the index or a revision and the digests agree

  Scenario: An instance is never in two pools
    # Guards against the planners of a deposed and of a new leader that assign
    # the same instance, and against a move without a drain.
    When random planners send transitions with current and stale epochs
    Then no epoch of an instance has two pools and no move skips the drain

  Scenario Outline: An announcement that names no target to use
    # Guards against an address that no entry can call, and sizes whose sums
    # are infinite, in the state of every process: calls to such an address
    # count as begun, and the fleet cannot be planned.
    When a target announces the <field> <value>
    Then the announcement is rejected

    Examples:
      | field       | value                           |
      | port        | 0                               |
      | port        | -1                              |
      | port        | 65536                           |
      | port        | 99999999999                     |
      | port        | "http"                          |
      | address     | ""                              |
      | address     | "a..b"                          |
      | slots       | 1000000000000000000000000000000 |
      | slots       | -1                              |
      | connections | -1                              |
      | running     | 1000000000000000000000000000000 |
      | incarnation | 1000000000000000000000000000000 |
      | epoch       | 1000000000000000000000000000000 |
      | resources   | {"cores":1e308,"memory_gb":64}  |
      | resources   | {"cores":-1,"memory_gb":64}     |
      | rack        | NESTED                          |
