Feature: Jobs of steps and tasks

  Scenario: A start on its way through the log is not assigned again
    # Guards against copies of a speculative task beyond its bound per worker:
    # the task looked as if it waited until the log had applied its start.
    Given a leader with 3 workers
    And a submitted job of 1 speculative task
    When the worker that got the task is answered while the log is slow
    Then no other worker gets the task

  Scenario: The log refuses a start beyond the bound per worker
    # Guards against two leaders that place siblings on one worker.
    Given a leader with 3 workers
    And a submitted job of 3 tasks with at most 2 on a worker
    When the log is asked to start all of them on one worker
    Then it allows 2 starts

  Scenario: The log refuses to start a task that has ended
    # Guards against two leaders of which one has not seen the end.
    Given a leader with 3 workers
    And a submitted job of 2 tasks
    When the log is asked to start a task that has ended well
    Then it allows no start

  Scenario: A sibling that has just started is not at work yet
    # Guards against upkeep that takes the second task of a step while the
    # first is still starting.
    Given a leader with 3 workers
    And a lasting job of 2 tasks at work on one worker
    Then that worker may not be taken, but one task may be stopped
    When one task has ended and started again without being at work
    Then the other task may not be stopped

  Scenario: Room is kept for a lasting task that waits
    # Guards against a lasting task that waits behind a stream of small ones.
    Given a leader with 1 worker full of short tasks and one more worker full
    And a lasting job that needs 4 cores
    When short tasks end one by one while more wait
    Then the lasting task starts before the stream ends

  Scenario: A cancellation that comes first wins
    # Guards against a job that runs although its cancelling was acknowledged.
    Given a leader with 3 workers
    When a job is cancelled and then submitted
    Then it is one cancelled job without waiting tasks

  Scenario: The same submission again is the same job
    # Guards against a second run after a lost answer.
    Given a leader with 3 workers
    And a submitted job of 2 tasks
    When the job is submitted again after its end
    Then it is still completed

  Scenario: A job larger than any worker is refused at once
    # Guards against work that waits for ever.
    Given a leader with 3 workers
    When a job with a task of 64 cores is submitted
    Then it is refused with the reason "more than any"

  Scenario: An older configuration changes nothing
    # Guards against a version that comes back.
    Given a leader with 3 workers
    When versions 7, 5 and 7 with other content are submitted
    Then version 7 with its first content is in force

  Scenario: A snapshot holds everything
    # Guards against state that is lost when the log is compacted.
    Given a leader with 3 workers
    And a submitted job of 2 tasks
    And a wave of 2 instances
    When the state is restored from its snapshot
    Then jobs, runs, configuration and waves are the same

  Scenario: A late heartbeat of an earlier life is ignored
    # Guards against a dead worker that seems to be alive.
    Given a leader with 3 workers
    When an earlier life of a worker reports late
    Then the report is stale and the newer life keeps its work

  Scenario: Filling tasks give way to tasks that serve
    # Guards against callers of a lasting task that wait because of others.
    Given a leader with 3 workers
    And a serving task and a filling task on one worker
    When the tail is over its target
    Then the filling task is paced down to 0
    When the tail is far below its target for some reports
    Then the filling task returns to its full pace

  Scenario: Idle instances are parked and fetched again
    # Guards against instances that are paid for without work, and against
    # a pool that stays small when work arrives.
    Given a leader with 6 workers and a spare pool
    When nothing runs for 3 seconds
    Then instances move to the spare pool, and 2 workers stay
    When work for 200 cores arrives
    Then instances move back to the pool

  Scenario: An instance whose worker has not reported yet is not idle
    # Guards against upkeep by a new leader that has not heard of the lasting
    # tasks on an instance.
    Given a leader with 2 workers and a spare pool
    And a wave of 4 instances of which one has a silent worker
    When the wave is planned at once
    Then only the spare instance and idle workers are taken
    When the wave is planned 7 seconds later
    Then the instance of the silent worker is taken too

  Scenario: A queue with a policy starts tasks only where they are allowed
    # Guards against starts that workers reject for want of a ticket.
    Given a leader with 3 workers whose queue has a policy
    And a submitted job of 2 tasks
    Then no task is assigned and the policy is asked about 3 workers
    When the policy allows worker w1 only
    Then both tasks start on w1 with its ticket
    And the policy is not asked about the others again

  Scenario: A policy service that does not answer is asked again
    # Guards against a step that waits for ever after one lost answer.
    Given a leader with 3 workers whose queue has a policy
    And a submitted job of 2 tasks
    Then no task is assigned and the policy is asked about 3 workers
    When the policy does not answer for 2 seconds
    Then the policy is asked about 3 workers again

  Scenario: A pool that loses its workers gets others at once
    # Guards against lasting tasks that stay away because parking had left
    # two workers and both were lost.
    Given a leader with 4 workers and a spare pool
    When nothing runs for 3 seconds
    And the workers that stayed are lost
    Then 2 instances move to the pool

  Scenario: Lasting tasks that wait for memory bring more instances
    # Guards against tasks that fill beside others: they need no cores of
    # their own, but waited for ever where memory was short.
    Given a leader with 8 workers and a spare pool
    When 2 workers stay and the others are parked
    And a lasting job of 12 tasks with 20000 MB each comes
    Then 2 instances move to the pool
