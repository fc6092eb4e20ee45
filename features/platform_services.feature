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
