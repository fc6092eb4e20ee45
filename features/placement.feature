Feature: Jobs are placed under leases

  Scenario: A job that fits on no worker is refused at once
    # Guards against a job that waits forever.
    Given a placement core with 4 workers of 32 cores and 64 GB
    When a job asks for 8 cores and 128 GB
    Then the job is refused at once and the answer names "64 of 128 GB"

  Scenario: A lease that may still be running is fenced first
    # Guards against the same job on two workers after a silent partition.
    Given a placement core with 4 workers of 32 cores and 64 GB
    And a running job on a worker
    When that worker becomes unreachable
    Then the job does not start anywhere else
    When the platform confirms the fence
    Then the job starts on another worker

  Scenario: A fence that is never confirmed
    # Guards against a job that is lost with its partitioned worker, and
    # against a second start while the lease of that worker may still run.
    Given a placement core with 4 workers of 32 cores and 64 GB
    And a running job on a worker
    When that worker becomes unreachable
    Then the job starts on another worker only after its lease has ended

  Scenario: Non-restartable work that may have run
    # Guards against a second run of work that must run at most once.
    Given a placement core with 4 workers of 32 cores and 64 GB
    And a running job on a worker that must not run twice
    When that worker becomes unreachable
    And the platform confirms the fence
    Then the job is answered as unknown

  Scenario: A worker that fails everything stops receiving work
    # Guards against a broken worker that gets all jobs because it is idle
    # again after each failure.
    Given a placement core with 4 workers of 32 cores and 64 GB
    When one worker fails every job it starts
    Then it is blocked after 3 jobs and gets no more work while idle

  Scenario: A job that fails on several workers blocks none of them
    # Guards against a broken job that blocks one worker after another.
    Given a placement core with 4 workers of 32 cores and 64 GB
    When 3 jobs fail on 2 workers each
    Then these jobs are answered as failed and no worker is blocked

  Scenario: Urgent work on a full fleet
    # Guards against urgent jobs that wait behind batch jobs.
    Given a placement core with 4 workers of 32 cores and 64 GB
    And batch jobs on every core
    When an urgent job is submitted
    Then it starts at once and a batch job is throttled

  Scenario: Throttled work gets its cores back
    # Guards against batch jobs that stay throttled when nothing else waits.
    Given a placement core with 4 workers of 32 cores and 64 GB
    And batch jobs on every core
    When an urgent job is submitted
    And the urgent job ends
    Then the batch job gets its cores back

  Scenario: Urgent work that lacks memory stops no more tasks than it needs
    # Guards against one more task that is stopped at each tick while the first
    # is still stopping.
    Given a placement core with 4 workers of 32 cores and 64 GB
    And batch jobs that hold all memory
    When an urgent job of 8 GB waits for one second
    Then one batch job is stopped
    When the stopped batch job has ended
    Then the urgent job starts on that worker

  Scenario: A large job among many small ones
    # Guards against small jobs that fill each gap before the large job fits.
    Given a placement core with 4 workers of 32 cores and 64 GB
    When a job for a whole worker waits behind a steady stream of small jobs
    Then it starts within 5 minutes

  Scenario: A team over its quota does not delay other teams
    # Guards against jobs that are never considered because they queue behind
    # those of a team that has used up its quota.
    Given a placement core with 4 workers of 32 cores and 64 GB
    And team "plot" has a quota of 8 cores and 16 GB
    And 128 cores are busy
    When team "plot" submits 300 jobs of 4 cores and 4 GB
    And another team submits one job and all cores become free
    Then the job of the other team starts

  Scenario: The task that exceeds its declaration is stopped
    # Guards against stopping the largest task because another one uses more
    # memory than it declared.
    Given a placement core with 4 workers of 32 cores and 64 GB
    And a large job that keeps to its declaration beside one that does not
    When the worker reports that its memory is exhausted
    Then only the job that exceeds its declaration is stopped

  Scenario: A delayed usage report
    # Guards against a second throttle call for usage that was measured before
    # the first one took effect.
    Given a placement core with 4 workers of 32 cores and 64 GB
    And a job of 8 cores that uses 40
    Then the first report throttles it to 8 cores
    And a report from before the throttle changes nothing
    And a later report that shows no effect throttles it again

  Scenario: Declared needs are corrected per kind
    # Guards against a half-empty fleet when jobs declare more than they use.
    Given jobs of a kind that use a third of what they declare
    Then the next job of that kind is charged with less than half
    And a job of another kind is charged as declared

  Scenario: A team stays within its quota
    # Guards against one team that takes the whole fleet.
    Given a placement core with 4 workers of 32 cores and 64 GB
    And team "plot" has a quota of 8 cores and 16 GB
    When team "plot" submits 5 jobs of 4 cores and 4 GB
    Then 2 jobs run and 3 wait

  Scenario: A thousand cancellations at once
    # Guards against counters that do not return to zero.
    Given a placement core with 4 workers of 32 cores and 64 GB
    When 1000 jobs are submitted and cancelled in one wave
    Then nothing waits, no lease is held and nothing is charged

  Scenario: Lost, late and duplicated answers
    # Guards against a job that runs twice at the same time, gets two answers
    # or gets none.
    Given placement replays with partitioned and broken workers for seeds 1 to 4
    Then no job ran twice at once and each job got one answer

  Scenario: Random events never give a job two leases
    # Guards against faults that only unusual sequences of events show.
    Then a state machine of lease events finds no job that runs twice

  Scenario: Calls to the platform are repeated until they are answered
    # Guards against a second reboot or task when an answer is lost or a request
    # arrives twice, and against a start that arrives after its fence.
    Given a fake platform that loses and duplicates a third of the calls
    When a start, a throttle, a checkpoint and a reboot are repeated
    Then each took effect once
    And a start that arrives after its fence is refused
