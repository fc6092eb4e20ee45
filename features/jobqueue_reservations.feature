Feature: A worker is reserved for a waiting task only where room can come

  Scenario Outline: Work that fits runs beside tasks that no worker can run
    # Guards against workers that are kept empty for long-running tasks which
    # no room can help, so that small jobs stand still beside them (review/13).
    Given a pool of 8 workers of which one is lost
    And <jobs> long-running jobs that wait for <cause>
    When jobs of 8 small tasks arrive for 8 s
    Then no small job stands still for 3 s beside room for two of its tasks
    And all small jobs have ended 14 s later

    Examples:
      | jobs | cause                           |
      | 1    | a limit per worker              |
      | 7    | a limit per worker              |
      | 20   | a limit per worker              |
      | 7    | a label of the lost worker      |
      | 20   | a label of the lost worker      |
      | 1    | cores that other tasks keep     |
      | 7    | cores that other tasks keep     |
      | 20   | cores that other tasks keep     |
      | 7    | a gang larger than the pool     |
      | 20   | a gang larger than the pool     |
      | 7    | tickets that nobody gets        |
      | 20   | tickets that nobody gets        |
      | 6    | their isolation                 |
      | 20   | their isolation                 |

  Scenario: Work that fits runs beside more such tasks than a pass considers
    # Guards against a pass that ends after a number of misses, always among the
    # same jobs, so that the jobs behind them stand still.
    Given a pool of 8 workers of which one is lost
    And 70 long-running jobs that wait for a label of the lost worker
    When jobs of 8 small tasks arrive for 8 s
    Then no small job stands still for 3 s beside room for two of its tasks
    And all small jobs have ended 14 s later

  Scenario Outline: A long-running task gets room in a dense stream
    # Guards against a long-running task that is down for more than 6 s because
    # small tasks take each core that becomes free (LOST).
    Given a pool of 8 workers
    And <jobs> long-running jobs of <what>
    And a stream of small tasks that asks for more than the pool holds
    And <others> long-running jobs that wait for <cause>
    When the workers of the first of these jobs are lost
    Then its tasks run again within 6 s

    Examples:
      | jobs | what                          | others | cause                      |
      | 1    | a task of 15.5 cores          | 0      | a limit per worker         |
      | 1    | a task of 15.5 cores          | 7      | a limit per worker         |
      | 1    | a task of 15.5 cores          | 20     | a label of the lost worker |
      | 1    | a task of 15.5 cores          | 7      | cores that other tasks keep |
      | 3    | a task of 15.5 cores          | 0      | a limit per worker         |
      | 1    | 3 tasks of 15.5 cores         | 0      | a limit per worker         |
      | 1    | 4 tasks of 7 cores            | 0      | a limit per worker         |
      | 1    | a task of nearly all memory   | 0      | a limit per worker         |
      | 1    | a gang of 2 tasks of 15.5 cores | 0    | a limit per worker         |
      | 1    | a gang of 2 tasks of 15.5 cores | 7    | a gang larger than the pool |

  Scenario Outline: Workers and leaders change while a worker is reserved
    # Guards against a reservation that outlives its worker, and against a new
    # leader that knows none.
    Given a pool of 8 workers
    And 1 long-running jobs of a task of 15.5 cores
    And a stream of small tasks that asks for more than the pool holds
    When the workers of the first of these jobs are lost
    And 1 s later <change>
    Then its tasks run again within <bound> s
    And no worker is reserved any more

    Examples:
      | change                          | bound |
      | the leader changes              | 6     |
      | the lost worker comes back      | 0.5   |
      | a new worker joins              | 0.5   |
      | the reserved worker restarts    | 0.5   |
      | the reserved worker is lost     | 6     |
      | the reserved worker is closed   | 6     |
      | its job is cancelled            | 0     |

  Scenario: A task hangs on the reserved worker
    # Guards against a long-running task that waits for room on one worker
    # although it comes sooner on others by now.
    Given a pool of 8 workers
    And 1 long-running jobs of a task of 15.5 cores
    And a stream of small tasks that asks for more than the pool holds
    When the workers of the first of these jobs are lost
    And 1 s later the small tasks of the reserved worker hang
    Then its tasks run again within 9 s

  Scenario: Short tasks start on a reserved worker if they end in time
    # Guards against a reserved worker that stands idle while the last task on
    # it needs long.
    Given a pool of 1 workers
    And a task of 1 core that runs for 20 s
    And 1 long-running jobs of a task of 15.5 cores
    When jobs of 8 small tasks arrive for 8 s
    Then no small job stands still for 3 s beside room for two of its tasks
    And the long-running task runs when 21 s have passed

  Scenario: A gang that lasts and was placed reserves no worker
    # Guards against a step that counts as one without room although it has
    # just been assigned.
    Given a pool of 2 workers
    When a long-running gang of 2 tasks of 1 core is assigned
    Then no worker is reserved any more

  Scenario: A reservation in one pool leaves the other pools alone
    # Guards against workers of another pool that are held for a task.
    Given a pool of 4 workers and another one of 4
    And 1 long-running jobs of a task of 15.5 cores
    And a stream of small tasks that asks for more than the pool holds
    When the workers of the first of these jobs are lost
    And jobs of the other pool arrive for 4 s
    Then all jobs of the other pool began within 1 s
    And its tasks run again within 6 s

  Scenario: Operators see which worker is reserved, and why none is
    # Guards against tasks that wait without a reason that an operator can see.
    Given a pool of 8 workers
    And 1 long-running jobs of a task of 15.5 cores
    And a stream of small tasks that asks for more than the pool holds
    And 1 long-running jobs that wait for a limit per worker
    When the workers of the first of these jobs are lost
    And 1 s pass
    Then the reasons of the first job name the reserved worker
    And the log has "worker reserved" for it
    And the reasons of the last job name "limit per worker"
    And the log has "no worker is reserved" for the last job

  Scenario: Operators see that a gang is larger than the pool
    # Guards against a gang that waits without a reason that an operator sees.
    Given a pool of 2 workers
    And 1 long-running jobs that wait for a gang larger than the pool
    Then the reasons of the last job name "room for part of the gang"

  Scenario Outline: What tells whether room can come on a worker
    # Guards against a reservation without evidence, see the table in the note
    # on reservations.
    Given a worker of 16 cores with <load>
    When a long-running task of <cores> cores <extra> waits
    Then the forecast of room on the worker is "<forecast>"

    Examples:
      | load                                | cores | extra                       | forecast         |
      | a finite task of 4 cores            | 14    | without more                | room in 2 s      |
      | two finite tasks of 4 and 6 cores   | 10    | without more                | room in 2 s      |
      | two finite tasks of 4 and 6 cores   | 14    | without more                | room in 5 s      |
      | finite tasks that end together      | 14    | without more                | room in 2 s      |
      | an overdue finite task of 4 cores   | 14    | without more                | room in 6 s      |
      | a long-running task of 4 cores      | 14    | without more                | long-running     |
      | a finite task of 4 cores            | 17    | without more                | long-running     |
      | a finite task of 4 cores            | 14    | with the label of another   | label            |
      | a long-running task of 4 cores      | 4     | with its limit reached      | limit per worker |
