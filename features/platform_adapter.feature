Feature: The adapter of the users' platform

  Scenario: The standard library's platform module stays reachable
    # Guards against the folder platform/ shadowing it for every program that
    # has the repository's root first on its path.
    When a program in the repository's root imports platform
    Then it gets the standard library's module

  Scenario: Only the adapter uses the platform's names
    # Guards against names of the platform's messages in the product.
    When the sources outside platform/ are searched for wire names
    Then none is found

  Scenario Outline: Bodies that cannot be used are rejected
    # Guards against invalid input that crashes a node or loses a job.
    When the leader gets <method> <path> with <body>
    Then it answers <status>

    Examples: submissions
      | method | path                  | body                    | status |
      | POST   | /a/00000000000000ab   | no JSON                 | 400    |
      | POST   | /a/00000000000000ab   | a job without steps     | 400    |
      | POST   | /a/00000000000000ab   | a step without count    | 400    |
      | POST   | /a/00000000000000ab   | a step after itself     | 400    |
      | POST   | /a/00000000000000ab   | a negative need         | 400    |
      | POST   | /a/00000000000000ab   | a need of 400 digits    | 400    |
      | POST   | /a/00000000000000ab   | a very long spec        | 400    |
      | POST   | /a/00000000000000ab   | far too many tasks      | 400    |
      | POST   | /a/00000000000000ab   | more than the limit     | 413    |
      | POST   | /a/xyz                | a job                   | 404    |
      | POST   | /none/00000000000000ab | a job                  | 404    |
      | PATCH  | /a/00000000000000ab   | a job                   | 405    |
      | GET    | /a/00000000000000cd   | nothing                 | 410    |
      | DELETE | /a/00000000000000cd   | nothing                 | 410    |
      | POST   | /a/00000000000000ab   | a job                   | 200    |

    Examples: workers and operators
      | method | path           | body                         | status |
      | PUT    | /instances/i-1 | no JSON                      | 400    |
      | PUT    | /instances/i-1 | a heartbeat                  | 200    |
      | PUT    | /instances/i-1 | a heartbeat in no known state | 400   |
      | PUT    | /instances/i-1 | a heartbeat without a pool   | 400    |
      | PUT    | /instances/i-1 | a heartbeat with broken rows | 400    |
      | PUT    | /config        | no JSON                      | 400    |
      | PUT    | /config        | an unknown service           | 400    |
      | PUT    | /config        | two routes with one prefix   | 400    |
      | PUT    | /config        | a timeout of 0               | 400    |
      | PUT    | /config        | a truncated configuration    | 400    |
      | PUT    | /config        | a configuration              | 200    |
      | POST   | /wave-start    | no JSON                      | 400    |
      | GET    | /wave-get/9    | nothing                      | 404    |
      | GET    | /wave-get/x    | nothing                      | 400    |
      | GET    | /other         | nothing                      | 404    |

  Scenario Outline: A job with a number that is too large
    # Guards against one job that makes each later plan of the leader fail, so
    # that no pool is sized and no wave is carried out in its term.
    Given a leader that sizes its pools
    When the leader gets POST /a/00000000000000ab with <body>
    Then it answers 400
    And the leader still sizes its pools

    Examples:
      | body                              |
      | an estimate that sums to infinity |
      | an estimate below 0               |

  Scenario Outline: A call with a host that is not UTF-8
    # Guards against a client's call that makes the leader fail, or makes the
    # node that passes it on forget the leader.
    Given a node that <role>
    When it gets a call with a host that is not UTF-8
    Then the call is answered with 404

    Examples:
      | role                     |
      | leads                    |
      | passes calls to a leader |

  Scenario Outline: Damaged bodies do not stop the leader
    # Guards against one malformed message that makes the leader fail calls
    # of others, for instance by a value that ends up in its state.
    When 400 damaged <kind> reach the leader
    Then each gets an answer that is not an internal error
    And a job and a heartbeat of another worker are handled as usual

    Examples:
      | kind              |
      | heartbeats        |
      | jobs              |
      | configurations    |
      | maintenance waves |

  Scenario Outline: A heartbeat that names no worker to use
    # Guards against a heartbeat of another writer that ends the runs of a
    # worker or takes its place.
    Given a worker that runs a task
    When a heartbeat under its id arrives with <change>
    Then it is rejected and the run of the worker goes on

    Examples:
      | change                           |
      | a service that is not configured |
      | another service and the same age |
      | 5000 nested lists                |
      | the port 65536                   |
      | the port 0                       |
      | the port -1                      |
      | a port of 40 digits              |
      | a port that is no number         |
      | an address without a host        |
      | an empty address                 |
      | a number of slots of 31 digits   |
      | a clock of 1e308                 |
      | a version that is a list         |
      | a start in 287396                |
      | a sequence of 16 digits          |
      | an end number of 16 digits       |

  Scenario Outline: A heartbeat that lacks a field
    # Guards against another writer that gets all starts of a job, or ends the
    # runs of a worker, because what its heartbeat leaves out is filled in
    # (review/7).
    Given a worker that runs a task
    When heartbeats of others have the field <field> <damage>
    Then both are rejected and the run of the worker goes on

    Examples:
      | field          | damage          |
      | Service        | missing         |
      | Service        | null            |
      | Service        | of another type |
      | Addr           | missing         |
      | Addr           | null            |
      | Addr           | of another type |
      | Zone           | missing         |
      | Zone           | null            |
      | Zone           | of another type |
      | Version        | missing         |
      | Version        | null            |
      | Version        | of another type |
      | Slots          | missing         |
      | Slots          | null            |
      | Slots          | of another type |
      | State          | missing         |
      | State          | null            |
      | State          | of another type |
      | ColdLeftMs     | missing         |
      | ColdLeftMs     | null            |
      | ColdLeftMs     | of another type |
      | Seq            | missing         |
      | Seq            | null            |
      | Seq            | of another type |
      | born           | missing         |
      | born           | null            |
      | born           | of another type |
      | Capacity       | missing         |
      | Capacity       | null            |
      | Capacity       | of another type |
      | Capacity.Cpu   | missing         |
      | Capacity.Cpu   | null            |
      | Capacity.Cpu   | of another type |
      | Capacity.MemMb | missing         |
      | Capacity.MemMb | null            |
      | Capacity.MemMb | of another type |
      | Capacity.Gpu   | missing         |
      | Capacity.Gpu   | null            |
      | Capacity.Gpu   | of another type |
      | Labels         | missing         |
      | Labels         | null            |
      | Labels         | of another type |
      | Machine        | missing         |
      | Machine        | null            |
      | Machine        | of another type |
      | Running        | missing         |
      | Running        | null            |
      | Running        | of another type |
      | Ended          | missing         |
      | Ended          | null            |
      | Ended          | of another type |

  Scenario Outline: The first heartbeat that a new leader hears
    # Guards against a second start of the tasks of a live worker: a leader
    # that had not heard of it accepted any pool under its id (review/8).
    Given a worker that runs a task
    When the next leader takes over
    And a heartbeat under its id arrives with <change>
    Then it is rejected and the run of the worker goes on

    Examples:
      | change                           |
      | a service that is not configured |
      | another service and the same age |
      | another service and a lower age  |
      | another service and a lower Seq  |

  Scenario Outline: The pool of a worker is added or removed
    # Guards against a worker that is rejected, and its runs lost, because the
    # configuration that a leader has does not name its pool any more.
    Given a worker that runs a task
    When a configuration <change> the pool of the worker
    And <next>
    Then the run of the worker goes on

    Examples:
      | change  | next                       |
      | removes | nothing else happens       |
      | removes | the next leader takes over |
      | removes | the node reads a snapshot  |
      | keeps   | the next leader takes over |

  Scenario: A heartbeat arrives before the first configuration
    # Guards against a writer that takes the place of a worker while no pool is
    # known yet, and keeps it.
    Given a leader without a configuration
    When a writer sends a heartbeat under the id of a worker
    And the first configuration arrives
    Then the heartbeat of the worker is answered with a lease

  Scenario Outline: A row of a heartbeat that lacks a field
    # Guards against rows of another writer that count as ends or as progress
    # of a run (review/7).
    Given a worker that runs a task
    When a heartbeat under its id has the <rows> row <row>
    Then it is rejected and the run of the worker goes on

    Examples:
      | rows    | row                                       |
      | Running | ["0000000000000007.0.0.0", 1]             |
      | Running | ["0000000000000007.0.0.0", 1, ""]         |
      | Running | ["0000000000000007.0.0.0", "1", "", 5]    |
      | Ended   | [1, "0000000000000007.0.0.0", 1]          |
      | Ended   | [1, "0000000000000007.0.0.0", 1, "done"]  |
      | Ended   | [1, "0000000000000007.0.0.0", 1, "over", ""] |

  Scenario Outline: A heartbeat without a field that not all workers send
    # Guards against a worker that is rejected, and all its capacity lost, for
    # a field that it need not send.
    Given a worker that runs a task
    When a heartbeat of another worker lacks only <field>
    Then it is answered with a lease

    Examples:
      | field       |
      | ClockMs     |
      | RemainingMs |

  Scenario: A worker of a platform that lists no machines
    # Guards against workers that are rejected because they name no machine
    # where there are none to name.
    When a worker of a platform without machines sends its heartbeat
    Then it is answered with a lease

  Scenario Outline: A settings file that cannot be read
    # Guards against a file that ends the node with a traceback, or the task
    # that watches the file, instead of being reported and ignored.
    When a settings file with <content> is read
    Then it is rejected with the error that the node reports

    Examples:
      | content            |
      | no JSON            |
      | 5000 nested lists  |

  Scenario Outline: A listed task whose name has an odd number
    # Guards against a negative number that selects a task from the end of a
    # job, which then counts as done although it has not run.
    Given a worker that runs the two tasks of a job
    When a heartbeat under its id lists the end of <name>
    Then it is rejected and no task is done

    Examples:
      | name                |
      | JOB.0.0.-1          |
      | JOB.-1.0.1          |
      | JOB.0.0.+1          |
      | JOB.0.0. 1          |
      | JOB.0.0.1_0         |
      | JOB.0.0             |
      | JOB.9x400.0.0       |
      | 5000 nested lists   |

  Scenario: A configuration is read back as it was sent
    # Guards against a read that changes or drops fields that the product does
    # not use.
    When the leader gets PUT /config with a configuration
    And the leader gets GET /config with nothing
    Then the answer is the text that was sent

  Scenario: A node that does not lead leaves reads to the leader
    # Guards against an answer from a state that may be outdated.
    Given a node that has lost its leadership
    When it gets a read of a job, a queue and the configuration
    Then each is left to the leader

  Scenario: Orders in the platform's format
    # Guards against rows whose elements are in the wrong order.
    When orders with a start, a stop and a pace are encoded
    Then the answer has the documented rows
