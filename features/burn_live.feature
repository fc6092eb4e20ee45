Feature: The burn report of live processes

  Scenario: The report survives the loss of any one process
    # Guards against counts that are lost with the leader that collected them
    # or with the entry that counted.
    Given a trial with 3 control, 3 entry and 6 target processes
    And 200 requests at 100 per second, half of them keyed
    When the load has ended and the control leader is killed
    Then the burn report of the new leader counts every answer
    When the killed leader starts again and "entry-2" is killed
    And the control leader is killed once more
    Then the burn report of the new leader counts every answer
