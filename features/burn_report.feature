Feature: Service-level burn report

  Scenario: Lost, late and repeated reports of entries
    # Guards against requests that are counted twice or not at all because a
    # message is repeated or arrives late.
    Given 3 entries that count requests of 2 services over 200 minutes
    When their totals reach control lost, repeated and in wrong order
    And each entry reports once more at the end
    Then the burn history holds exactly the requests that the entries counted

  Scenario: Loss of any one process
    # Guards against a report without some requests after an entry or the
    # control leader was killed.
    Given an entry reported 100 good and 7 bad requests to the leader
    When the leader is lost before it commits and a follower takes over
    And the entry renews with the new leader and is lost as well
    And the entry starts again and reports 50 good and 1 bad requests
    Then the burn history holds 150 good and 8 bad requests

  Scenario: Burn rates, budget and forecast of a known record
    # Guards against a wrong formula; the expected figures were calculated by
    # hand.
    Given a service committed to 99% with 100 requests a minute for 2 days
    And 2 of 100 requests are bad in the last hour
    When the burn report is made
    Then its burn rate over 1 h is 2 and over 5 min is 2
    And its burn rate over 6 h is one third
    And the forecast divides the budget left by the rate of the last 6 h

  Scenario: Causes with their events
    # Guards against bad requests that are attributed to the wrong event.
    Given bad requests of a drained, a moved and a lost instance
    And bad requests that were refused for overload
    When the burn report is made
    Then each cause has its own bad requests and names its events

  Scenario: A commitment without budget
    # Guards against a division by zero for a commitment of 100%.
    Given a service committed to 100% with one bad request
    When the burn report is made
    Then the report says that there is no budget
    And the JSON of the report is read back unchanged

  Scenario: The page is self-contained
    # Guards against a page that loads scripts, styles or images from other
    # servers and so is empty for a reader who is offline.
    Given bad requests of a drained, a moved and a lost instance
    When the burn report is made
    Then the HTML page has charts and refers to no other file
    And a name with markup is escaped in the page

  Scenario: History of 28 days stays bounded
    # Guards against a replicated state that grows with every minute.
    Given 30 days of one report per minute
    Then at most 361 minutes and 673 hours are kept
    And a restored snapshot of the burn history gives the same report
