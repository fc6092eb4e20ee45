Feature: Maintenance disrupts nobody

  Scenario Outline: Windows are open in the hours of the document
    # Guards against windows that end at midnight or miss their weekday.
    Given a maintenance window on <day> at <start> for <hours> hours
    Then it has <left> hours left on <when> at <hour>

    Examples:
      | day | start | hours | when | hour | left |
      | mon | 2     | 5     | mon  | 2    | 5    |
      | mon | 2     | 5     | mon  | 7    | 0    |
      | sun | 22    | 5     | mon  | 1    | 2    |
      | mon | 2     | 5     | tue  | 3    | 0    |

  Scenario: A whole wave within the windows
    # Guards against maintenance of two racks of a pool at once, a drain
    # outside a window and an instance that gets no maintenance.
    Given a replay of one week in which every instance is due
    Then every instance was maintained and no invariant was violated

  Scenario: Random failures during four weeks
    # Guards against broken commitments when a wave coincides with a lost rack
    # or data centre, a platform notice, an isolated entry or an instance that
    # does not return.
    Given replays of four weeks with failures for seeds 1 to 4
    Then every instance was maintained and no invariant was violated

  Scenario: A fast burn pauses the wave, which resumes by itself
    # Guards against maintenance that uses up the budget a failure left.
    Given a fleet with due maintenance in an open window
    When "product" burns its budget fast
    Then no serving instance is withdrawn and the refusal names "burns"
    When the burn of "product" ends
    Then a serving instance is withdrawn for maintenance

  Scenario: A pool without budget gets no maintenance
    # Guards against maintenance that goes on although unplanned losses have
    # spent the budget.
    Given a fleet with due maintenance in an open window
    When "product" has spent its budget
    Then instances of other pools are withdrawn, none of "product"

  Scenario: No idle instance can replace the one in maintenance
    # Guards against maintenance that leaves a pool without its commitment
    # after the loss of one more rack.
    Given a fleet with due maintenance in an open window
    When no idle instance is left
    Then no serving instance is withdrawn and the refusal names "stand in"

  Scenario: Part of the reserve is kept for the next failure
    # Guards against a wave that uses the last reserve instance right after a
    # loss.
    Given a fleet with due maintenance in an open window
    When all but 3 idle instances are lost
    Then 2 serving instances are withdrawn for maintenance

  Scenario: One failure domain of a pool at a time
    # Guards against maintenance of a second rack of a pool when the document
    # allows two unavailable instances.
    Given a fleet with due maintenance in an open window
    And pools with at most two unavailable instances
    When an hour passes
    Then each pool has one rack in maintenance

  Scenario: Instances that do not return pause the wave
    # Guards against a faulty firmware update that disables one instance after
    # another.
    Given a fleet with due maintenance in an open window
    When two instances do not return from maintenance
    Then both are lost, reported and replaced
    And no serving instance is withdrawn and the refusal names "did not return"
    When an hour passes
    Then a serving instance is withdrawn for maintenance

  Scenario Outline: A drain that takes too long
    # Guards against a drain that aborts work against the document's policy.
    Given a document whose drains escalate by "<escalation>"
    When a drain exceeds its time limit
    Then the plan asks for "<call>" of the instance

    Examples:
      | escalation | call       |
      | wait       | nothing    |
      | checkpoint | checkpoint |
      | stop       | stop       |

  Scenario: The platform takes a rack out of service in ten minutes
    # Guards against work that still runs when the platform stops a rack.
    Given a planned fleet of 32 workers and 5 pools
    When the platform gives ten minutes' notice of maintenance of a rack
    Then its instances drain and each pool has its full size on other racks
    And they return only after the notice has ended

  Scenario: A roll-out stops at an unhealthy stage
    # Guards against faulty software that reaches every instance.
    Given a roll-out in stages of 5%, 25% and 100% over 40 instances
    When the second stage fails twice as often as the rest
    Then the roll-out halts and a new revision with the old content follows
    And 10 of 40 instances ever had the new content

  Scenario: A roll-out with healthy stages ends
    # Guards against a roll-out that skips a health check or never ends.
    Given a roll-out in stages of 5%, 25% and 100% over 40 instances
    When every stage is as healthy as the rest
    Then the roll-out is done after 3 health checks
