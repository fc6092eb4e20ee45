Feature: Planning keeps commitments with shared buffers and few moves

  Scenario: The loss of any one rack spends no budget
    # Guards against a spread that puts two instances of a pool with one
    # instance of headroom into the same rack.
    Given a planned fleet of 32 workers and 5 pools
    Then each pool keeps its commitment after the loss of any one rack
    And the idle reserve replaces what any one rack takes

  Scenario: An instance belongs to exactly one pool
    # Guards against an assignment without a drain and a release, and
    # against a transition under an epoch that has passed.
    Given a planned fleet of 32 workers and 5 pools
    Then no transition leads from one pool to another
    And a transition under an older epoch is rejected

  Scenario: The loss of a data centre stays within small budgets
    # Guards against a reserve that covers racks only, so that an hour
    # without a data centre spends more than a budget holds.
    Given a planned fleet whose documents commit 0.99995
    Then the reserve is complete
    And without any one data centre the budgets pay for what is lacking

  Scenario: A document leaves a data centre
    # Guards against instances that stay where the document forbids them,
    # and against a move that takes the pool under its commitment.
    Given a planned fleet of 32 workers and 5 pools
    When the document of "product" no longer names "mx-3"
    Then pool "product" is spread over "mx-1" and "mx-2"
    And each pool keeps its commitment after the loss of any one rack

  Scenario: The same state gives the same plan
    # Guards against a plan that depends on the memory of the old leader, so
    # that a failover moves instances.
    Given a planned fleet of 32 workers and 5 pools
    When the plan is made by a new planner
    Then the plan has no transitions

  Scenario: New instances are not due for maintenance
    # Guards against a first start that takes the fleet into maintenance
    # because nothing is known about earlier ones.
    Given a fleet of which nothing is known
    Then the plan brings no instance into maintenance within a week

  Scenario: A burst moves nothing, lasting demand does, and not back at once
    # Guards against a pool that gains and loses an instance with each peak.
    Given a planned fleet of 32 workers and 5 pools
    When demand on "product" peaks at 11.0 instances for some seconds
    Then the plan has no transitions
    When lasting demand on "product" grows to 5.0 instances
    Then pool "product" has 6 instances
    When lasting demand on "product" falls to 4.5 instances
    Then pool "product" has 6 instances
    And the explanation of "product" says "pays for its move"
    When lasting demand on "product" falls to 2.0 instances
    Then pool "product" has 5 instances

  Scenario: Demand never takes the reserve
    # Guards against a busy pool that uses up what a rack loss needs.
    Given a planned fleet of 32 workers and 5 pools
    When lasting demand on "product" grows to 30.0 instances
    Then the reserve is complete
    And the explanation of "product" refuses "lasting demand"

  Scenario: A restart moves nothing and a lasting loss is replaced
    # Guards against one move for each of the daily restarts.
    Given a planned fleet of 32 workers and 5 pools
    When an instance of "tariff" is lost for 60 seconds
    Then pool "tariff" has 4 instances
    When an instance of "tariff" is lost for 180 seconds
    Then pool "tariff" has 5 instances

  Scenario: Most of the fleet disappears from one view
    # Guards against an isolated observer that empties all pools.
    Given a planned fleet of 32 workers and 5 pools
    When data centre "mx-1" reports every instance as missing
    Then the plan is suspended and has no transitions
    When data centre "mx-2" reports every instance as missing
    Then 32 instances are lost

  Scenario: A pool that is short borrows from the spare pool
    # Guards against a spare pool that keeps its headroom while another pool
    # is under its commitment.
    Given a planned fleet of 32 workers and 5 pools
    When the idle workers and one worker of "tariff" stay lost
    Then one instance of the spare pool drains for the others
    And the spare pool keeps its commitment

  Scenario: Random events never break an invariant
    # Guards against sequences that no example has: losses, returns, demand,
    # documents and drains in any order.
    Then a state machine of fleet events finds no broken invariant
