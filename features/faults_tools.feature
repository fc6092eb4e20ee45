Feature: The test tools find what they are for

  Scenario: A fake target under its assignment
    # Guards against a fake target that runs requests of a pool it is not
    # assigned to, which would hide a fault of an entry.
    Given a fake target that was assigned to pool "pass-through" at epoch 1
    When a request comes for pool "pass-through" at epoch 1
    And a request comes for pool "pass-through" at epoch 2
    And a request comes for pool "other" at epoch 1
    Then the first ran and the others were rejected with 409

  Scenario: A fake target that leaves
    # Guards against a fake target that stops before its requests have ended.
    Given a fake target that was assigned to pool "pass-through" at epoch 1
    When it leaves while a request runs
    Then it announces that it leaves with 1 running
    And the request is answered completely

  Scenario Outline: Faults of a link
    # Guards against a proxy that does not apply a fault, so that tests with
    # this fault always pass.
    Given an echo server behind the fault proxy
    When 1000 bytes are sent while the link has <fault>
    Then <forward> bytes reach the server and <back> come back <end>

    Examples:
      | fault            | forward | back | end                |
      | no fault         | 1000    | 1000 | and it stays open  |
      | cut forward      | 300     | 0    | and it closes      |
      | reset backward   | 1000    | 300  | and it resets      |
      | duplicate        | 2000    | 1000 | and it stays open  |
      | lost requests    | 0       | 0    | and it stays open  |
      | lost answers     | 1000    | 0    | and it stays open  |

  Scenario: A silent link heals
    # Guards against a simulated partition that loses bytes of a connection,
    # which TCP never does.
    Given an echo server behind the fault proxy
    When 1000 bytes are sent while the link has lost requests
    And the link heals
    Then all 1000 bytes come back

  Scenario: Each source has its own link
    # Guards against a fault that also hits the links of other processes.
    Given an echo server behind the fault proxy
    And the link from "control-1" is silent
    When "control-1" and "control-2" each send a message
    Then only the message of "control-2" reaches the server

  Scenario: A seeded schedule of faults
    # Guards against a schedule that differs between two runs with one seed,
    # or that leaves a link broken at its end.
    When two schedules of 50 changes are drawn from one seed
    Then they are equal and every link ends healthy

  Scenario: Open loop
    # Guards against coordinated omission: a load tool that waits for answers
    # would never send the request that the first answer waits for.
    Given an entry that answers the first request after the last has arrived
    When 5 requests are planned for the same time
    Then all 5 are answered and each latency counts from its planned time

  Scenario Outline: Verdict on each violation
    # Guards against a verdict that misses a kind of violation.
    Given the ledgers of 20 good requests
    When the ledgers also hold <violation>
    Then the verdict names exactly 1 <kind>

    Examples:
      | violation                                   | kind          |
      | a sent request without an answer            | lost          |
      | an answer to work that no target ran        | lost          |
      | a keyed request that two targets ran        | run_twice     |
      | a repeat of a key that ran again            | run_twice     |
      | a run of work that was told not-run         | false_not_run |
      | an answer that belongs to another request   | mixed_up      |
      | nine running on one target                  | overrun       |
      | work of two pools at once on one target     | two_pools     |

  Scenario: Merged and compared figures
    # Guards against percentiles that are averaged instead of merged.
    Given two latency histograms of separate runs
    When they are encoded, decoded and merged
    Then the merged quantiles are those of all durations
    And an alternating comparison swaps the order in each round

  Scenario: The folder of a failed scenario is kept
    # Guards against failures that cannot be traced, because the logs of the
    # processes are removed with the scenario.
    Given the folder of a scenario with a log file
    When the folder is copied twice with another content
    Then the copy has the last content after the folder is removed
