Feature: The leader under load

  Scenario: The cost of a heartbeat does not grow with full workers
    # Guards against a leader that compares every waiting task with every
    # worker at each heartbeat and so answers seconds late.
    Given a leader with 100 full workers and 80 waiting jobs
    When one of the full workers sends a heartbeat
    Then fewer than 300 comparisons of a task with a worker were made

  Scenario: The next pass uses capacity that was freed on another worker
    # Guards against an assignment pass that looks only at the worker
    # that sent the heartbeat.
    Given a leader with 100 full workers and 80 waiting jobs
    When an assignment of another worker is withdrawn
    Then the next pass assigns the free capacity to a waiting task

  Scenario: The capacity of an ended run is free once its end is committed
    # Guards against free capacity that is computed between the heartbeat and
    # the commit of the end and then stays unused until the next heartbeat.
    Given a leader with 1 full worker and 1 waiting job
    When its run ends and another pass comes before the end is committed
    Then the waiting task is assigned once the end is committed

  Scenario: Tasks of a step are compared with all workers once per worker
    # Guards against a pass whose time grows with tasks times workers.
    Given a leader with 100 workers
    When a job of 400 tasks that fit four times on a worker is submitted
    Then all tasks are assigned with at most 101 searches for a worker

  Scenario: The sizes of pools are planned while many jobs wait
    # Guards against a plan whose time grows with waiting jobs times workers.
    Given a leader with 100 full workers and 80 waiting jobs
    When the sizes of pools are planned
    Then fewer than 300 comparisons of a task with a worker were made

  Scenario: Many heartbeats share one assignment
    # Guards against an assignment pass for each heartbeat, which overloads the
    # leader of a thousand workers.
    Given the service of a leader with 200 workers
    When all of them send a heartbeat at the same time
    Then at most 3 passes assign tasks

  Scenario: A pass that takes long is followed by a pause
    # Guards against a leader that only assigns tasks while heartbeats wait.
    Given the service of a leader with 200 workers
    When heartbeats arrive for a second and each pass takes 0.1 s
    Then at most 4 passes assign tasks

  Scenario: The leader cannot keep up with the heartbeats
    # Guards against leases that expire because idle workers send a heartbeat
    # as soon as the last one is answered.
    Given a leader with 3 workers
    When its event loop is 0.5 s late again and again
    Then it answers idle workers at once and asks for a pause of 0.6 s
    When its event loop is in time again for 2 s
    Then it holds the heartbeats of idle workers and asks for no pause

  Scenario: Tasks do not wait for a worker that has become silent
    # Guards against tasks that stay assigned to a crashed worker until its
    # lease expires, while other workers have free capacity.
    Given a leader with 2 workers of which one has become silent
    When a job of 2 tasks that need a whole worker each is submitted
    Then the task assigned to the silent worker is assigned again after 2 s

  Scenario: The log tells a paused process from one that was cut off
    # Guards against a silent leader whose log leaves open why (inc-125e).
    When a process stands still for 5 s while its timers run
    Then its log has the pause of 5 s and no other
