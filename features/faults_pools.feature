Feature: An instance belongs to one pool at any moment

  Scenario: Instances move between pools under load
    # Guards against work of the old pool that runs beside work of the new
    # one, also when the leader is killed during a move.
    Given a trial with 3 control, 3 entry and 6 target processes
    And 600 requests at 60 per second, half of them keyed
    When an instance changes pools while the control leader is killed
    Then the ledgers show no violation
    And an instance ran work of both pools
    And every request was answered

  Scenario: An instance returns with a stale state
    # Guards against a target that was paused during its move and still runs
    # requests of its old pool afterwards.
    Given a trial with 3 control, 3 entry and 6 target processes
    And 400 requests at 100 per second, half of them keyed
    When a serving target is paused until it was replaced and then resumed
    Then the ledgers show no violation
