Feature: A fault that has passed leaves no lasting effect

  Scenario: Jobs that can never be done fail on all workers of a pool
    # Guards against a pool without any worker for up to a minute: each of its
    # workers was blocked, and each further failure doubled the time.
    Given a leader with 2 workers
    And 8 jobs that fail at once have failed on each worker
    When a long-running job waits for 4 seconds
    Then its task has started

  Scenario: A worker repeats a report that the log does not commit
    # Guards against a worker that is blocked for a minute after a stall of
    # the log, because each repetition of one report counted as new failures.
    Given a leader with 2 workers
    When worker w0 reports 3 failed jobs 4 times before the log commits it
    Then worker w0 is available again 7 seconds after the last report

  Scenario: A worker with a ticket restarts under its id
    # Guards against starts that the worker rejects again and again, because
    # its ticket was valid only until its restart.
    Given a leader with 3 workers whose queue has a policy
    And a submitted job of 2 tasks
    Then no task is assigned and the policy is asked about 3 workers
    When the policy allows worker w1 only
    And worker w1 restarts
    Then no task is assigned with the ticket of its earlier incarnation

  Scenario: A replica in a later term names the leader of an earlier one
    # Guards against a node that takes itself out of service, and cannot find
    # its leader again, because it ignores the answers of that leader.
    Given a replica in term 8 that has learned of the leader of term 7
    When a node hears from that replica and then from the leader
    Then the node counts the leader as confirmed
    When a call to the leader fails once and the leader answers again
    Then the node knows the leader

  Scenario: The row of a moving instance cannot be read for a while
    # Guards against a worker that gets no tasks any more, because the move of
    # its instance was forgotten while the list lacked it.
    Given a leader with 3 idle workers and a spare pool
    When the platform answers no move and lists no readable row of it for 6 s
    And the list shows all instances in their pool again for 3 s
    Then all workers get tasks

  Scenario: A voter returns after it was removed from the membership
    # Guards against a running replica that stays outside the membership for
    # ever: by its own log it votes, so it does not ask to join again.
    Given five simulated replicas that keep three voters
    When a follower is cut off for 10 seconds and reachable again for 10
    Then it is a member and applies what the leader applies

  Scenario: A learner hears from no leader any more
    # Guards against a node that reports ready without a leader, because its
    # replica names the last leader it has heard from.
    Given five simulated replicas that keep three voters
    When an empty replica has joined as a learner and all others stop
    Then it follows no leader 5 seconds later

  Scenario: The only other worker is blocked
    # Guards against an evacuation that stops a long-running task although no
    # worker gets it: the blocked one counted as room for it.
    Given a leader with 2 workers
    And a long-running task on worker w0 while worker w1 is blocked
    Then the task does not fit on another worker

  Scenario: A query of the policy service fails unexpectedly
    # Guards against a step that is never asked about again, because its query
    # counts as pending for ever.
    Given a leader with 3 workers whose queue has a policy
    And a submitted job of 2 tasks
    When one query fails with an unexpected error
    Then the next query is sent 2 seconds later

  Scenario: A replica refuses all requests while commands arrive
    # Guards against a leader that sends each new command with all entries
    # that a replica with a full disk lacks, megabytes per second.
    Given five simulated replicas that keep three voters
    When a follower refuses all requests for 2 seconds while commands arrive
    Then entries are sent to it once per heartbeat interval

  Scenario: A worker with a long-running task shuts down
    # Guards against a long-running task that stands still until its lease
    # has expired, although its worker announced seconds before that it leaves.
    Given a leader with 2 workers
    And a long-running job with 2 available tasks on one worker
    When that worker drains and has 4 seconds left
    Then the tasks run on the other worker before it leaves
