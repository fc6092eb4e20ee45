Feature: Jobs are placed under leases

  Scenario: A job that fits nowhere is answered at once
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
    # against a start before the worker's own lease has surely ended.
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
    # Guards against an idle-looking worker that swallows all jobs.
    Given a placement core with 4 workers of 32 cores and 64 GB
    When one worker fails every job it starts
    Then it is blocked after 3 jobs and looks idle without more work

  Scenario: A job that fails everywhere blames no worker
    # Guards against a broken job that blocks one worker after another.
    Given a placement core with 4 workers of 32 cores and 64 GB
    When 3 jobs fail on 2 workers each
    Then these jobs are answered as failed and no worker is blocked

  Scenario: Urgent work on a full fleet
    # Guards against urgent work that waits behind batch work.
    Given a placement core with 4 workers of 32 cores and 64 GB
    And batch jobs on every core
    When an urgent job is submitted
    Then it starts at once and a batch job is throttled

  Scenario: Throttled work gets its cores back
    # Guards against batch work that stays slow when nothing else waits.
    Given a placement core with 4 workers of 32 cores and 64 GB
    And batch jobs on every core
    When an urgent job is submitted
    And the urgent job ends
    Then the batch job gets its cores back

  Scenario: Urgent work that lacks memory stops others only once
    # Guards against one more stopped task at each tick while the first ones
    # are still being stopped.
    Given a placement core with 4 workers of 32 cores and 64 GB
    And batch jobs that hold all memory
    When an urgent job of 8 GB waits for one second
    Then one batch job is stopped
    When the stopped batch job has ended
    Then the urgent job starts on that worker

  Scenario: A large job among many small ones
    # Guards against small jobs that fill each gap before the large job fits.
    Given a placement core with 4 workers of 32 cores and 64 GB
    When a job for a whole worker waits behind small jobs that keep coming
    Then it starts within 5 minutes

  Scenario: A team over its quota keeps nobody else waiting
    # Guards against jobs that are never tried behind those of a full team.
    Given a placement core with 4 workers of 32 cores and 64 GB
    And team "plot" has a quota of 8 cores and 16 GB
    And 128 cores are busy
    When team "plot" submits 300 jobs of 4 cores and 4 GB
    And another team submits one job and all cores become free
    Then the job of the other team starts

  Scenario: The task that exceeds its declaration gives way
    # Guards against stopping the largest task for the fault of another.
    Given a placement core with 4 workers of 32 cores and 64 GB
    And a large job that keeps to its declaration beside one that does not
    When the worker reports that its memory is exhausted
    Then only the job that exceeds its declaration is stopped

  Scenario: A lagging report
    # Guards against acting twice on what a report from before the first
    # call still shows.
    Given a placement core with 4 workers of 32 cores and 64 GB
    And a job of 8 cores that uses 40
    Then the first report throttles it to 8 cores
    And a report from before the throttle changes nothing
    And a later report that shows no effect throttles it again

  Scenario: Declared needs are corrected per kind
    # Guards against a fleet that is half empty by wrong declarations.
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
    # Guards against a job that runs twice at the same time, gets two
    # answers or none.
    Given placement replays with cut and broken workers for seeds 1 to 4
    Then no job ran twice at once and each job got one answer

  Scenario: Random events never give a job two leases
    # Guards against sequences that no example has.
    Then a state machine of lease events finds no job that runs twice

  Scenario: Calls to the platform are repeated until they are answered
    # Guards against a second reboot or a second task when an answer is lost
    # or a request arrives twice, and against a start after its fence.
    Given a fake platform that loses and duplicates a third of the calls
    When a lease, a throttle, a checkpoint and a reboot are repeated
    Then each took effect once
    And a start that arrives after its fence is refused
