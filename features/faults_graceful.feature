Feature: A planned stop aborts no request

  Scenario: Every entry stops in turn
    # Guards against a stop that closes connections with requests in flight,
    # or refuses connections before the load balancer has noticed the stop.
    Given a trial with 3 control, 3 entry and 6 target processes
    And 500 requests at 50 per second, half of them keyed
    When each entry is stopped and started again in turn under load
    Then each entry ended with status 0
    And the ledgers show no violation
    And no caller saw a broken connection
    And every request was answered

  Scenario: Every control process stops in turn
    # Guards against a transfer of leadership that leaves keyed work without
    # an answer.
    Given a trial with 3 control, 3 entry and 6 target processes
    And 500 requests at 50 per second, half of them keyed
    When each control process is stopped and started again in turn under load
    Then the ledgers show no violation
    And no caller saw a broken connection
    And every request was answered
