Feature: An entry decides what happens to each request

  Scenario: A thousand cancellations at once
    # Guards against counters, slots or memory that stay in use after many
    # simultaneous cancellations, and against work that ran but is reported
    # as not-run.
    Given 1000 requests wait or run at 3 entries
    When all requests are cancelled at once
    Then every counter is zero and every slot is free again

  Scenario: Burst of five times the mean
    # Guards against a queue that holds more requests than can be answered by
    # their deadlines, and against running attempts whose slot is taken away
    # when their deadline passes.
    Given a burst of five times the mean demand for 3 seconds
    When the burst is replayed
    Then rejected work did not run and has a Retry-After
    And under 0.1% of the accepted work misses its deadline

  Scenario: A target fails everything and looks idle
    # Guards against choosing the target with the fewest running requests,
    # which would send most work to the target that fails fastest.
    Given a target of six that fails every request
    When idempotent work runs for six seconds
    Then no request fails and the target gets few attempts

  Scenario Outline: A wrong declared class is corrected
    # Guards against long work that stays in the queue of the short work
    # because its document declares it short, and the other way round.
    Given a kind of work declared <declared> that runs <seconds> s
    When it has run 4 times
    Then it is classified as <learned> work

    Examples:
      | declared | seconds | learned |
      | short    | 5       | long    |
      | long     | 0.05    | short   |

  Scenario: One customer floods the queue
    # Guards against a customer whose requests wait until all requests of
    # another customer have been served.
    Given a customer with 200 requests before one with 2
    Then the second customer is served within 5 requests

  Scenario Outline: Which failed work is tried again
    # Guards against retries that run non-idempotent work twice.
    Given <kind> work whose attempt failed <when> bytes were sent
    Then it is <decision> again

    Examples:
      | kind           | when   | decision  |
      | idempotent     | after  | tried     |
      | idempotent     | before | tried     |
      | keyed          | after  | not tried |
      | keyed          | before | tried     |
      | non-idempotent | after  | not tried |
      | non-idempotent | before | not tried |

  Scenario: A request that fails wherever it runs
    # Guards against one harmful request that takes down target after target.
    Given idempotent work whose attempt failed after bytes were sent
    Then it is not tried on a third target

  Scenario: Retries are bounded and spread over time
    # Guards against retries that multiply the load of a failing pool, and
    # against retries that are all sent at once or before Retry-After.
    Given a retry budget of a tenth of the traffic
    Then 1000 failing requests get at most 110 retries
    And no backoff is below the Retry-After of 2 s

  Scenario: An entry without a lease
    # Guards against work sent by an entry whose lease has ended, and which
    # the control processes therefore no longer count.
    Given 100 requests wait or run at 1 entries
    When an entry loses its lease while requests wait
    Then they end as not-run and nothing new is sent
