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
