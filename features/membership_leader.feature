Feature: The control leader judges the fleet by the entries' reports

  Scenario: A new leader asks for what it does not know
    # Guards against a leader that takes its own ignorance for a loss.
    Given a leader with 6 serving instances and entries in 2 data centres
    When entry-0 reports a change only
    Then entry-0 is asked for a complete report and nothing is missing

  Scenario: Home entries decide whether an instance is missing
    # Guards against an instance marked lost because an entry elsewhere does
    # not hear it.
    Given a leader with 6 serving instances and entries in 2 data centres
    And both entries have reported completely
    When entry-1 does not hear worker-0, which entry-0 hears
    Then nothing is missing
    When entry-0 reports worker-0 gone
    Then worker-0 is missing in the view of both data centres

  Scenario: An instance is drained only after the drain was known everywhere
    # Guards against maintenance of an instance that a grant can still reach.
    Given a leader with 6 serving instances and entries in 2 data centres
    And worker-0 drains from second 10 on
    When entry-0 reports worker-0 with 0 running at second 11
    Then worker-0 is not drained
    When entry-0 reports worker-0 with 1 running at second 14
    Then worker-0 is not drained
    When entry-0 reports worker-0 with 0 running at second 15
    Then worker-0 is drained

  Scenario: Maintenance ends when the instance comes back, not before it goes
    # Guards against an instance that is given work again before it rebooted,
    # also by a leader that has just taken over.
    Given a leader with 6 serving instances and entries in 2 data centres
    And worker-0 is in maintenance
    Then worker-0 has not returned
    When both entries have reported completely
    Then worker-0 has not returned
    When entry-0 reports worker-0 gone
    And entry-0 reports worker-0 with 0 running at second 20
    Then worker-0 has returned

  Scenario: A lost instance that is heard again returns
    # Guards against a healthy instance that stays lost after a partition.
    Given a leader with 6 serving instances and entries in 2 data centres
    And worker-0 is lost
    When both entries have reported completely
    Then worker-0 has returned

  Scenario: A loss that the previous leader did not commit
    # Guards against an instance that stays serving for ever because it went
    # while the leader changed, and against a loss seen by an entry that has
    # just started.
    Given a leader with 6 serving instances and entries in 2 data centres
    When entry-0 reports completely without worker-0
    Then at second 11 0 instances are missing
    And at second 14 1 instances are missing
