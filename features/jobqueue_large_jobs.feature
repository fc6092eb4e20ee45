Feature: The largest jobs that are accepted

  Scenario: A pass that takes too long goes on where it stopped
    # Guards against jobs that are never considered because the pass is over
    # before their turn, each time (review/1).
    Given a leader on whose clock each look at the time takes 20 ms
    When 30 jobs with 4 tasks each are submitted, of which 10 fit nowhere
    Then the tasks of the other 20 jobs are assigned within 150 passes
    And no pass that follows is unfinished once the clock is normal again

  Scenario: Many tasks with a large payload on one worker
    # Guards against an answer that the worker drops as too large, again and
    # again, so that none of the tasks ever starts (review/REPORT.md).
    Given a leader with 2 workers
    When a job of 1,200 tasks with a payload of 4,000 control characters is submitted
    Then no answer to a heartbeat has more than 4 MiB
    And all its tasks were started within 30 heartbeats

  Scenario Outline: A job of 20,000 tasks keeps every piece of work short
    # Guards against a piece of work that grows faster than the job, so that
    # the leader loses its lease, and each new leader after it (review/1).
    When a job of 20,000 <kind> tasks runs from its submission to its end
    Then all its tasks were started
    And no piece of work of a leader took longer than half of its lease
    And a replica was restored within one lease

    Examples: kinds
      | kind         |
      | plain        |
      | per-worker   |
      | rack-local   |
      | long-running |
      | gang         |
      | speculative  |
      | periodic     |
      | single-step  |

  Scenario Outline: Room for 20,000 long-running tasks comes only later
    # Guards against a pass that reserves room for each of them at once.
    Given a leader with 8 workers full of finite tasks
    When a job of 20,000 long-running <kind> waits for room for 2 s
    Then no pass took longer than half of a lease
    And at most 32 of its tasks have a reservation

    Examples: kinds
      | kind              |
      | tasks             |
      | tasks of one gang |
