Feature: The control leader judges the fleet by the entries' reports

  Scenario: A new leader asks for complete reports
    # Guards against a leader that counts instances as lost because it has not
    # received complete reports yet.
    Given a leader with 6 serving instances and entries in 2 data centres
    When entry-0 reports a change only
    Then entry-0 is asked for a complete report and nothing is missing

  Scenario: Entries of its data centre decide whether an instance is missing
    # Guards against an instance marked as lost because an entry of another
    # data centre receives no announcements of it.
    Given a leader with 6 serving instances and entries in 2 data centres
    And both entries have reported completely
    When entry-1 reports worker-0 unheard, which entry-0 reports present
    Then nothing is missing
    When entry-0 reports worker-0 gone
    Then worker-0 is missing in the view of both data centres

  Scenario: An instance is drained only once every entry knows of the drain
    # Guards against maintenance of an instance to which an entry may still
    # send work under an earlier grant.
    Given a leader with 6 serving instances and entries in 2 data centres
    And worker-0 drains from second 10 on
    When entry-0 reports worker-0 with 0 running at second 11
    Then worker-0 is not drained
    When entry-0 reports worker-0 with 1 running at second 14
    Then worker-0 is not drained
    When entry-0 reports worker-0 with 0 running at second 15
    Then worker-0 is drained

  Scenario: Maintenance ends when the instance returns from its reboot
    # Guards against an instance that gets work again before it rebooted, also
    # from a leader that has just been elected.
    Given a leader with 6 serving instances and entries in 2 data centres
    And worker-0 is in maintenance
    Then worker-0 has not returned
    When both entries have reported completely
    Then worker-0 has not returned
    When entry-0 reports worker-0 gone
    And entry-0 reports worker-0 with 0 running at second 20
    Then worker-0 has returned

  Scenario: A lost instance that is reported present again returns
    # Guards against a healthy instance that stays lost after a partition.
    Given a leader with 6 serving instances and entries in 2 data centres
    And worker-0 is lost
    When both entries have reported completely
    Then worker-0 has returned

  Scenario: A loss that the previous leader did not commit
    # Guards against an instance that stays in its pool forever because it was
    # lost while the leader changed, and against a loss reported by an entry
    # that has just started.
    Given a leader with 6 serving instances and entries in 2 data centres
    When entry-0 reports completely without worker-0
    Then at second 11 0 instances are missing
    And at second 14 1 instances are missing
