Feature: Tasks are kept away from workers on which starts have no effect

  Scenario Outline: Writers that pass for workers and start nothing
    # Guards against a job that never runs because all starts of its tasks go
    # to a writer that never lists one, whatever it reports (review/7).
    Given a pool of 3 workers and <writers>
    When a job of <count> "<kind>" tasks is submitted
    Then each of its tasks begins within <bound> s
    And no writer gets a task twice

    Examples:
      | writers                | count | kind           | bound |
      | 1 idle writer          | 1     | finite         | 3     |
      | 3 idle writers         | 1     | finite         | 6     |
      | 1 larger idle writer   | 1     | finite         | 3     |
      | 1 larger idle writer   | 2     | lasting        | 3     |
      | 3 larger idle writers  | 2     | lasting        | 6     |
      | 1 idle writer          | 2     | gang           | 3     |
      | 1 larger idle writer   | 4     | gang           | 3     |
      | 1 idle writer          | 2     | near its data  | 3     |
      | 1 larger idle writer   | 3     | one per worker | 3     |

  Scenario Outline: A writer that starts nothing for a long time
    # Guards against a first start of each job that is lost on the same writer.
    Given a pool of 3 workers and <writers>
    When a job of one task is submitted each second for 30 s
    Then each writer got at most 8 starts
    And all of these tasks have begun within 3 s of the last

    Examples:
      | writers               |
      | 1 idle writer         |
      | 1 larger idle writer  |
      | 3 larger idle writers |

  Scenario Outline: A writer whose every heartbeat has a later start
    # Guards against sound tasks that are blamed for crashes of a worker that
    # never listed them, until their jobs are given up.
    Given a pool of 3 workers and <writers>
    When a job of one task is submitted each second for 30 s
    Then each writer got at most 8 starts
    And all of these tasks have begun within 3 s of the last
    And no job has failed

    Examples:
      | writers          |
      | 1 reborn writer  |
      | 3 reborn writers |

  Scenario: A writer that claims more room than any worker
    # Guards against jobs that are accepted, and never run, because only a
    # writer that starts nothing claims to have room for them.
    Given a pool of 3 workers and 1 larger idle writer
    When a job that is larger than the workers is submitted
    Then each writer got at most 8 starts within 30 s
    And a job larger than the workers is refused

  Scenario: A worker gets its responses too late for a while
    # Guards against a sound worker that never gets tasks again after a
    # disturbance of the network.
    Given a pool of 3 workers and 0 idle writers
    When the responses to one worker arrive too late for 10 s
    And they arrive in time again and a job for all workers is submitted
    Then that worker runs tasks again within 12 s

  Scenario: The only worker of a pool gets its responses too late
    # Guards against a pool without workers: its last one keeps getting tasks.
    Given a pool of 1 workers and 0 idle writers
    When the responses to one worker arrive too late for 12 s
    Then it has got a start at each of its heartbeats

  Scenario Outline: A pool without any disturbance
    # Guards against a first start that is delayed on a sound worker.
    Given a pool of 3 workers and 0 idle writers
    When a job of 6 "<kind>" tasks is submitted
    Then each of its tasks begins within 0.2 s

    Examples:
      | kind    |
      | finite  |
      | lasting |
      | gang    |
