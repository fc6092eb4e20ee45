Feature: Services of the platform that answer badly

  Scenario Outline: A call that changes an instance
    # Guards against a call that counts as not executed although it may have
    # been, and against an answer that stops the duties of the leader.
    Given a service that <behaviour>
    When an instance is moved
    Then the outcome is "<outcome>"

    Examples:
      | behaviour             | outcome    |
      | does not listen       | unknown    |
      | closes the connection | unknown    |
      | answers 500           | unknown    |
      | answers 429           | limited    |
      | answers 400           | impossible |
      | answers 409 malformed | busy       |

  Scenario: Lists with malformed rows
    # Guards against one malformed row that hides all instances, so that no
    # maintenance wave and no move is planned any more.
    Given a service whose lists have malformed rows
    When the instances are listed and the policy is asked
    Then the valid rows are used

  Scenario Outline: Lists with a row that no decoder can read
    # Guards against one row of another writer that makes every read of the
    # list fail, so that no wave is carried out and no step gets its tickets.
    Given a service whose lists have a row with <content>
    When the instances are listed and the policy is asked
    Then the valid rows are used

    Examples:
      | content                               |
      | 5000 nested lists                     |
      | 100000 nested objects                 |
      | a valid row around 5000 nested lists  |
      | an escape of half a character         |
      | a string of bytes that are not UTF-8  |
      | a number that JSON does not have      |

  Scenario Outline: A row of another writer about an instance
    # Guards against a row that lacks a field, or has an unknown pool, and
    # passes for evidence that the worker of an instance has ended (review/6).
    Given a listed instance and <place> a row of it with <odd>
    When the instances are listed and the policy is asked
    Then the row of the platform holds

    Examples:
      | place              | odd                  |
      | before it          | no Pool              |
      | after it           | no Pool              |
      | on the next page   | no Pool              |
      | before it          | no State             |
      | after it           | no State             |
      | on the next page   | no State             |
      | before it          | no Zone              |
      | after it           | no Zone              |
      | on the next page   | no Zone              |
      | before it          | no Labels            |
      | after it           | no Labels            |
      | on the next page   | no Labels            |
      | before it          | no Capacity          |
      | after it           | no Capacity          |
      | on the next page   | no Capacity          |
      | before it          | no Id                |
      | after it           | no Id                |
      | on the next page   | no Id                |
      | before it          | a null Id            |
      | after it           | a null Id            |
      | on the next page   | a null Id            |
      | before it          | a null Zone          |
      | after it           | a null Zone          |
      | on the next page   | a null Zone          |
      | before it          | a list as Pool       |
      | after it           | a list as Pool       |
      | on the next page   | a list as Pool       |
      | before it          | a Cpu of "1"         |
      | after it           | a Cpu of "1"         |
      | on the next page   | a Cpu of "1"         |
      | before it          | an unknown pool      |
      | after it           | an unknown pool      |
      | on the next page   | an unknown pool      |
      | before it          | an unknown state     |
      | after it           | an unknown state     |
      | on the next page   | an unknown state     |

  Scenario Outline: The only row of an instance is that of another writer
    # Guards against a wave that counts an instance as gone, and against the
    # end of its runs, because its only row in a list cannot be used.
    Given a list with only a row of "m-8" with <odd>
    When the instances are listed and the policy is asked
    Then the valid rows are used and "m-8" counts as unreadable

    Examples:
      | odd             |
      | no Id           |
      | an unknown pool |

  Scenario Outline: An instance changes while the pages are read
    # Guards against a list that shows an instance in two states, of which the
    # later row wins although it may be the older one.
    Given a list with "m-8" twice <place>, <rows>
    When the instances are listed and the policy is asked
    Then "m-8" is <result>

    Examples:
      | place        | rows                  | result     |
      | on one page  | the same              | listed     |
      | on one page  | up and then down      | unreadable |
      | on two pages | up and then in upkeep | unreadable |

  Scenario: The policy names a worker that was not asked about
    # Guards against a ticket of another writer that lets a task start where
    # the policy was not asked.
    Given a policy that was asked about one worker
    When it answers with tickets for that worker and for another one
    Then only that worker has a ticket

  Scenario Outline: A listed instance with a capacity that none can have
    # Guards against a row of another writer that names an instance for which
    # jobs are accepted that no worker can run.
    Given a service whose lists have an instance with <cores> thousandths
    When the instances are listed and the policy is asked
    Then the valid rows are used and "m-8" counts as unreadable

    Examples:
      | cores                           |
      | -16000                          |
      | 1000000000000000000000000000000 |
      | 18446744073709551616            |
      | 1.5                             |
      | 1e999                           |

  Scenario Outline: A call whose permission expires before it is sent
    # Guards against a leader that was paused after its last check of its
    # lease and then changes an instance beside its successor.
    Given a service with a record of its calls
    When an instance is moved with a permission that ends <moment>
    Then the outcome is "not_sent" and the service got no call

    Examples:
      | moment                      |
      | before the first connection |
      | before the second call      |

  Scenario Outline: Lists and questions
    # Guards against an incomplete list, or a missing answer, that counts as
    # an empty one.
    Given a service that <behaviour>
    When the instances are listed and the policy is asked
    Then there is neither a list nor an answer

    Examples:
      | behaviour             |
      | does not listen       |
      | closes the connection |
      | answers 429           |
      | answers 200 malformed |
