Feature: Jobs of steps and tasks

  Scenario: A task whose start is being committed is not assigned again
    # Guards against more copies of a speculative task than its limit: the
    # task counted as waiting until the log had applied its start.
    Given a leader with 3 workers
    And a submitted job of 1 speculative task
    When the assigned worker is answered before the log applies the start
    Then no other worker gets the task

  Scenario: The log refuses a start beyond the limit per worker
    # Guards against two leaders that both place tasks of one step on one
    # worker and so exceed the limit together.
    Given a leader with 3 workers
    And a submitted job of 3 tasks with at most 2 per worker
    When the log is asked to start all of them on one worker
    Then it allows 2 starts

  Scenario: The log refuses to start a task that has ended
    # Guards against two leaders: one that has not seen the end starts the
    # task again.
    Given a leader with 3 workers
    And a submitted job of 2 tasks
    When the log is asked to start a task that has completed
    Then it allows no start

  Scenario: A task that has just started is not available yet
    # Guards against maintenance that stops the second task of a step while
    # the first is still starting.
    Given a leader with 3 workers
    And a long-running job with 2 available tasks on one worker
    Then that worker may not be taken down, but one task may be stopped
    When one task has ended and is starting again
    Then the other task may not be stopped

  Scenario: Capacity is reserved for a waiting long-running task
    # Guards against a long-running task that waits without end, because
    # short tasks take each core that becomes free.
    Given a leader with 1 worker full of short tasks and one more worker full
    And a long-running job that needs 4 cores
    When short tasks end one by one while more wait
    Then the long-running task starts before the last short task ends

  Scenario: A cancellation that arrives before its job is kept
    # Guards against a job that runs although its cancellation was
    # acknowledged.
    Given a leader with 3 workers
    When a job is cancelled and then submitted
    Then it is one cancelled job without waiting tasks

  Scenario: The same submission again is the same job
    # Guards against a second run of a job that is submitted again because the
    # response to the first submission was lost.
    Given a leader with 3 workers
    And a submitted job of 2 tasks
    When the job is submitted again after its end
    Then it is still completed

  Scenario: A job larger than any worker is refused at once
    # Guards against a job that waits forever.
    Given a leader with 3 workers
    When a job with a task of 64 cores is submitted
    Then it is refused with the reason "more than any"

  Scenario: An older configuration changes nothing
    # Guards against an older version that takes effect again when it arrives
    # late.
    Given a leader with 3 workers
    When versions 7, 5 and 7 with other content are submitted
    Then version 7 with its first content is in force

  Scenario: A snapshot holds the whole state
    # Guards against state that is lost when the log is compacted.
    Given a leader with 3 workers
    And a submitted job of 2 tasks
    And a wave of 2 instances
    When the state is restored from its snapshot
    Then jobs, runs, configuration and waves are the same

  Scenario: A late heartbeat of an earlier incarnation is ignored
    # Guards against a worker process that has ended but counts as alive.
    Given a leader with 3 workers
    When a heartbeat of an earlier incarnation of a worker arrives late
    Then the heartbeat is stale and the newer incarnation is kept

  Scenario: Filling tasks are throttled in favour of serving tasks
    # Guards against slow responses of a task that serves requests, caused by
    # a filling task on the same worker.
    Given a leader with 3 workers
    And a serving task and a filling task on one worker
    When the tail latency is above its target
    Then the filling task gets a pace of 0
    When the tail latency is far below its target for some reports
    Then the filling task returns to its full pace

  Scenario: Idle instances move to the spare pool and back
    # Guards against idle instances that keep costing money, and against a
    # pool that does not grow again when work arrives.
    Given a leader with 6 workers and a spare pool
    When no task runs for 3 seconds
    Then instances move to the spare pool, and 2 workers stay
    When tasks for 200 cores are submitted
    Then instances move back to the pool

  Scenario: An instance whose worker has not reported yet is not idle
    # Guards against maintenance by a new leader that has not yet received the
    # heartbeat that lists the long-running tasks of an instance.
    Given a leader with 2 workers and a spare pool
    And a wave of 4 instances, one of them with a worker that has not reported
    When the wave is planned at once
    Then only the spare instance and idle workers are taken
    When the wave is planned 7 seconds later
    Then the instance of the worker that has not reported is taken too

  Scenario: A queue with a policy starts tasks only where they are allowed
    # Guards against starts that workers reject because they carry no ticket.
    Given a leader with 3 workers whose queue has a policy
    And a submitted job of 2 tasks
    Then no task is assigned and the policy is asked about 3 workers
    When the policy allows worker w1 only
    Then both tasks start on w1 with its ticket
    And the policy is not asked about the others again

  Scenario: A policy service that does not answer is asked again
    # Guards against a step that waits forever after one lost response.
    Given a leader with 3 workers whose queue has a policy
    And a submitted job of 2 tasks
    Then no task is assigned and the policy is asked about 3 workers
    When the policy does not answer for 2 seconds
    Then the policy is asked about 3 workers again

  Scenario: A pool that loses its workers gets others at once
    # Guards against long-running tasks that stay down: all but two workers
    # had moved to the spare pool, and those two were lost.
    Given a leader with 4 workers and a spare pool
    When no task runs for 3 seconds
    And the remaining workers are lost
    Then 2 instances move to the pool

  Scenario: Long-running tasks that wait for memory add instances
    # Guards against filling tasks that wait forever for memory: they need no
    # cores of their own, and only cores were counted as missing.
    Given a leader with 8 workers and a spare pool
    When 2 workers stay and the others move to the spare pool
    And a long-running job of 12 tasks with 20000 MB each is submitted
    Then 2 instances move to the pool

  Scenario: The largest configuration
    # Guards against a configuration that is valid and accepted, but too large
    # for the log (review/4).
    When a configuration with a source of 4 MiB is applied
    Then its command is smaller than what the log accepts
    And the configuration is in force as it was sent
