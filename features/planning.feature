Feature: Planning keeps commitments with shared buffers and few moves

  Scenario: The loss of any one rack spends no budget
    # Guards against two instances of a pool in the same rack when the pool has
    # one instance of headroom.
    Given a planned fleet of 32 workers and 5 pools
    Then each pool keeps its commitment after the loss of any one rack
    And the idle reserve replaces the instances of any one rack

  Scenario: An instance belongs to exactly one pool
    # Guards against an assignment without a drain and a release, and against
    # a transition under an outdated epoch.
    Given a planned fleet of 32 workers and 5 pools
    Then no transition leads from one pool to another
    And a transition under an older epoch is rejected

  Scenario: The loss of a data centre stays within small budgets
    # Guards against a reserve that covers racks only, so that an hour without
    # a data centre spends more than the availability budget.
    Given a planned fleet whose documents commit 0.99995
    Then the reserve is complete
    And without any one data centre the budgets cover the missing instances

  Scenario: A document no longer names a data centre
    # Guards against instances that stay in a data centre without permission,
    # and against a move that takes the pool below its commitment.
    Given a planned fleet of 32 workers and 5 pools
    When the document of "product" no longer names "mx-3"
    Then pool "product" is spread over "mx-1" and "mx-2"
    And each pool keeps its commitment after the loss of any one rack

  Scenario: The same state gives the same plan
    # Guards against a plan that depends on the in-memory state of the old
    # leader, so that a failover moves instances.
    Given a planned fleet of 32 workers and 5 pools
    When the plan is made by a new planner
    Then the plan has no transitions

  Scenario: New instances are not due for maintenance
    # Guards against a first start that takes the whole fleet into maintenance
    # because no earlier maintenance is on record.
    Given a fleet without records of earlier maintenance
    Then the plan brings no instance into maintenance within a week

  Scenario: Lasting demand moves instances with hysteresis, a burst does not
    # Guards against a pool that gains and loses an instance with each peak.
    Given a planned fleet of 32 workers and 5 pools
    When demand on "product" peaks at 11.0 instances for a few seconds
    Then the plan has no transitions
    When lasting demand on "product" grows to 5.0 instances
    Then pool "product" has 6 instances
    When lasting demand on "product" falls to 4.5 instances
    Then pool "product" has 6 instances
    And the explanation of "product" says "pays for its move"
    When lasting demand on "product" falls to 2.0 instances
    Then pool "product" has 5 instances

  Scenario: Demand never uses the reserve
    # Guards against a busy pool that uses up the reserve for a rack loss.
    Given a planned fleet of 32 workers and 5 pools
    When lasting demand on "product" grows to 30.0 instances
    Then the reserve is complete
    And the explanation of "product" refuses "lasting demand"

  Scenario: A restart moves no instance and a lasting loss is replaced
    # Guards against a move for each of the daily restarts.
    Given a planned fleet of 32 workers and 5 pools
    When an instance of "tariff" is lost for 60 seconds
    Then pool "tariff" has 4 instances
    When an instance of "tariff" is lost for 180 seconds
    Then pool "tariff" has 5 instances

  Scenario: One data centre reports most of the fleet as missing
    # Guards against an isolated data centre whose reports empty all pools.
    Given a planned fleet of 32 workers and 5 pools
    When data centre "mx-1" reports every instance as missing
    Then the plan is suspended and has no transitions
    When data centre "mx-2" reports every instance as missing
    Then 32 instances are lost

  Scenario: A pool that is short borrows from the spare pool
    # Guards against a spare pool that keeps its headroom while another pool is
    # below its commitment.
    Given a planned fleet of 32 workers and 5 pools
    When the idle workers and one worker of "tariff" stay lost
    Then one instance of the spare pool drains for the others
    And the spare pool keeps its commitment

  Scenario: Random events never break an invariant
    # Guards against faults that only unusual sequences of losses, returns,
    # demand, documents and drains show.
    Then a state machine of fleet events finds no broken invariant
