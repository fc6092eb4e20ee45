Feature: A caller gets the whole answer to its own request

  Scenario: Headers of a proxied request
    # Guards against forwarded hop-by-hop headers, against a caller's key that
    # reaches a target, and against a caller that sets the customer header
    # itself.
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
      | another operation  | 404    |

  Scenario: The process is paused between a grant and the sending
    # Guards against a request that reaches a target under an expired grant,
    # for instance long after the target left.
    Given an entry with 1 scripted targets
    When the process is paused for 3 s before it sends a booking
    Then the booking is sent once, under the next grant
    And the caller gets its answer

  Scenario Outline: A target at an address that cannot be called
    # Guards against an answer that says that work which must not run twice may
    # have run, or an internal error, because of an odd address.
    Given an entry with 2 targets, the first at <address> and port <port>
    When a caller sends 6 bookings and a look-up
    Then each booking has the outcome ran or not-run
    And the look-up is answered by the second target

    Examples:
      | address   | port  |
      | 127.0.0.1 | 65536 |
      | 999.1.1.1 | 80    |
      | 64 x a    | 80    |

  Scenario: A truncated answer to idempotent work is retried
    # Guards against a truncated body that is passed on as a whole answer.
    Given an entry with 2 scripted targets
    And the first answer is cut in the middle
    When a caller sends a look-up
    Then the caller gets the whole answer of a second attempt

  Scenario: A truncated large answer is incomplete for the caller too
    # Guards against silent truncation after part of the answer has already
    # been sent to the caller.
    Given an entry with 1 scripted targets
    And each answer of 1 MiB is cut in the middle
    When a caller sends a look-up
    Then the caller sees an incomplete answer

  Scenario: A connection with an outstanding answer is not reused
    # Guards against a late answer that is passed to the next caller.
    Given an entry with 1 scripted targets
    And the first answer comes after its caller's deadline
    When a caller sends a look-up with a deadline of 1000 ms
    And a caller sends a look-up
    Then the second request used another connection and got its own answer

  Scenario: A large body passes with its content unchanged
    # Guards against bodies that are changed or buffered as a whole.
    Given an entry with 1 scripted targets
    When a caller sends 512 KiB in chunks
    Then the target got exactly these bytes

  Scenario: A keyed body that differs from its digest stays incomplete
    # Guards against a key that is claimed for one body while a target runs
    # another body.
    Given an entry with 1 scripted targets
    When a caller sends a keyed body of 512 KiB with a wrong digest
    Then no target got a complete request

  Scenario: A large keyed body needs a digest
    # Guards against a keyed request that is sent before it can be claimed.
    Given an entry with 1 scripted targets
    When a caller sends a keyed body of 512 KiB without a digest
    Then the caller gets status 400 with the outcome not-run
    And no target got a request

  Scenario: A keyed request continues after its caller disconnects
    # Guards against a claim without an outcome although only the caller has
    # disconnected.
    Given an entry with 1 scripted targets
    And each answer takes 300 ms
    When a caller sends a keyed batch and disconnects after 100 ms
    Then the outcome ran is recorded for the key
    And a repeat gets the recorded answer without a second run
