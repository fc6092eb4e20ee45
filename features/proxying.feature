Feature: A caller gets the whole answer to its own request

  Scenario: Headers of a proxied request
    # Guards against hop-by-hop headers that cross the proxy, against a
    # caller's key that reaches a target, and against a caller that states its
    # own customer.
    Given an entry with 1 scripted targets
    When a caller sends a look-up with hop-by-hop and forged headers
    Then the target got no hop-by-hop header and no key
    And the target got the customer of the key and the caller's address
    And the answer has the outcome ran

  Scenario Outline: Limits on a request
    # Guards against unbounded memory for one request, and against work that
    # runs although its answer says it did not.
    Given an entry with 1 scripted targets
    When a caller sends a look-up with <excess>
    Then the caller gets status <status> with the outcome not-run
    And no target got a request

    Examples:
      | excess             | status |
      | too large a body   | 413    |
      | too many headers   | 431    |
      | an unknown key     | 401    |
      | the wrong method   | 405    |
      | a foreign resource | 404    |

  Scenario: A truncated answer to idempotent work is retried
    # Guards against a short body that looks like a whole answer.
    Given an entry with 2 scripted targets
    And the first answer is cut in the middle
    When a caller sends a look-up
    Then the caller gets the whole answer of a second attempt

  Scenario: A truncated large answer is cut for the caller too
    # Guards against silent truncation once the answer has started.
    Given an entry with 1 scripted targets
    And each answer of 1 MiB is cut in the middle
    When a caller sends a look-up
    Then the caller sees an incomplete answer

  Scenario: A connection in doubt is not used again
    # Guards against a late answer that reaches the next caller.
    Given an entry with 1 scripted targets
    And the first answer comes after its caller's deadline
    When a caller sends a look-up with a deadline of 1000 ms
    And a caller sends a look-up
    Then the second request used another connection and got its own answer

  Scenario: A large body passes with its content unchanged
    # Guards against bodies that are changed or held in one piece.
    Given an entry with 1 scripted targets
    When a caller sends 512 KiB in chunks
    Then the target got exactly these bytes

  Scenario: A keyed body that differs from its digest stays incomplete
    # Guards against a claim for one body and a run of another.
    Given an entry with 1 scripted targets
    When a caller sends a keyed body of 512 KiB with a wrong digest
    Then no target got a complete request

  Scenario: A large keyed body needs a digest
    # Guards against a keyed request that is sent before it can be claimed.
    Given an entry with 1 scripted targets
    When a caller sends a keyed body of 512 KiB without a digest
    Then the caller gets status 400 with the outcome not-run
    And no target got a request

  Scenario: A caller that leaves does not end its keyed request
    # Guards against a claim without outcome when only the caller is gone.
    Given an entry with 1 scripted targets
    And each answer takes 300 ms
    When a caller sends a keyed batch and leaves after 100 ms
    Then the outcome ran is recorded for the key
    And a repeat gets the recorded answer without a second run
