Feature: The leader under load

  Scenario: A heartbeat costs the same however many workers are full
    # Guards against a leader that compares every waiting task with every
    # worker at each heartbeat and so answers seconds late.
    Given a leader with 100 full workers and 80 waiting jobs
    When one of the full workers reports
    Then fewer than 300 comparisons of a task with a worker were made

  Scenario: Room that was freed elsewhere is used by the next pass
    # Guards against a pass that looks only at the worker that reported.
    Given a leader with 100 full workers and 80 waiting jobs
    When an assignment of another worker is taken back
    Then the next pass gives the room to a waiting task

  Scenario: The room of an ended run is free once the log holds its end
    # Guards against free room that was computed between the report and its
    # commit and stays out of use until the next report.
    Given a leader with 1 full worker and 1 waiting job
    When its run ends and another pass comes before the log holds the end
    Then the waiting task is assigned once the log holds it
