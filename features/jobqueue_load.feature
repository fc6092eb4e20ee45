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

  Scenario: Tasks do not wait for a worker that has become silent
    # Guards against tasks that stay assigned to a crashed worker until its
    # lease expires, while other workers have free capacity.
    Given a leader with 2 workers of which one has become silent
    When a job of 2 tasks that need a whole worker each is submitted
    Then the task assigned to the silent worker is assigned again after 2 s
