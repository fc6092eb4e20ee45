Feature: Workers keep their work while they, or the leader, are slow

  Scenario Outline: A worker sends no more heartbeats
    # Guards against tasks of a crashed worker that wait for the end of its
    # lease, and against tasks of a silent worker that start again elsewhere.
    Given a leader without waves and a worker that runs a task
    When the platform lists its instance as <state> <age> s later
    Then its task <verdict>

    Examples:
      | state                  | age | verdict                  |
      | down                   | 2.5 | waits for another worker |
      | up with another worker | 2.5 | waits for another worker |
      | up with this worker    | 2.5 | runs on                  |
      | up with this worker    | 5.5 | runs on                  |
      | missing                | 2.5 | runs on                  |
      | down                   | 0.4 | runs on                  |

  Scenario Outline: The list has a second row of the instance of a worker
    # Guards against the end of the runs of a live worker, and a second start
    # of its tasks, by a row with a pool that no configuration names (review/6).
    Given a leader without waves and a worker that runs a task
    When the platform also lists its instance in <pool> as <state>
    Then its task <verdict>

    Examples:
      | pool            | state | verdict                  |
      | an unknown pool | down  | runs on                  |
      | an unknown pool | up    | runs on                  |
      | its pool        | down  | runs on                  |

  Scenario Outline: A worker that has announced its shutdown leaves the fleet
    # Guards against long-running tasks that wait for the end of the lease of a
    # worker that left, and against a second run if it has not left (inc1).
    Given a leader without waves and a worker that runs a task
    When the worker announces its shutdown
    And the platform lists its instance as <first> <age> s later
    And the platform lists its instance as <second> 0.7 s later
    Then its task <verdict>

    Examples:
      | first                 | age | second                | verdict                  |
      | missing               | 0.7 | missing               | waits for another worker |
      | missing               | 0.3 | missing               | runs on                  |
      | up with this worker   | 0.7 | missing               | runs on                  |
      | missing               | 0.7 | missing or unreadable | runs on                  |
      | missing or unreadable | 0.7 | missing               | runs on                  |
      | up with this worker   | 0.7 | up with this worker   | runs on                  |

  Scenario: A worker reports again after its shutdown was announced
    # Guards against a worker that gets no more tasks because the shutdown of
    # an earlier process under its id was announced late.
    Given a leader without waves and a worker that runs a task
    When the worker announces its shutdown
    And the worker reports its task
    Then it may get tasks again

  Scenario Outline: A late heartbeat of an earlier worker of an instance
    # Guards against a worker that has ended and takes the place of the one
    # that is up on its instance, which is then taken down with tasks at work
    # beyond the limit of their step (review/10).
    Given a leader without waves and a worker that runs a task
    When a heartbeat of <sender> arrives for its instance
    Then its task <verdict>
    And the leader knows <workers> on the instance

    Examples:
      | sender                          | verdict                  | workers      |
      | an earlier worker               | runs on                  | the worker   |
      | an earlier worker with its id   | runs on                  | the worker   |
      | a later worker                  | waits for another worker | the sender   |

  Scenario Outline: A new leader hears of an earlier worker of an instance
    # Guards against an instance that a new leader takes down because the
    # first worker on it that it hears of, which has ended, runs nothing.
    Given a leader without waves and a worker that runs a task
    When a new leader hears of <sender>
    And a wave of its instance is due while the list shows the worker
    Then the instance is not taken down within <time> s

    Examples:
      | sender                             | time |
      | only an earlier worker             | 0.4  |
      | an earlier worker, then the worker | 3    |
      | the worker, then an earlier worker | 3    |

  Scenario: A list is requested right after a heartbeat
    # Guards against the loss of work that a list shows which the platform
    # made before the worker returned.
    Given a leader without waves and a worker that runs a task
    And another worker that has sent no heartbeat for 3 s
    When the worker reports its task
    And the platform lists its instance as down 0.4 s later
    Then its task runs on

  Scenario: The disks of the replicas stall
    # Guards against workers that give up their work because the leader could
    # not commit what they reported.
    Given a leader without waves and a worker that runs a task
    When the log commits nothing while the worker reports an end
    Then the answer renews its lease and acknowledges nothing

  Scenario Outline: The platform says that an instance is maintained
    # Guards against a second start of the tasks of a worker that is up since
    # the maintenance: the call that is answered may have done nothing, as an
    # earlier one was executed (review/9).
    Given a leader without waves and a worker that runs a task
    When a call to maintain its instance is answered as done
    And the list then shows the instance as <state> for <time> s
    Then its task <verdict>

    Examples:
      | state                  | time | verdict                  |
      | up with this worker    | 3    | runs on                  |
      | in maintenance         | 0.4  | runs on                  |
      | in maintenance         | 1.5  | waits for another worker |
      | up with another worker | 1.5  | waits for another worker |

  Scenario: A worker starts again while a call that ends it is answered
    # Guards against a second run of a task: the answer to a call that ended
    # the worker arrives after its next process has started the task.
    Given a leader without waves and a worker that runs a task
    When its next process starts the task again under the same id
    And the platform answers that the earlier process was taken down
    Then its task runs on
