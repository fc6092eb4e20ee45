Feature: Services of the platform that answer badly

  Scenario Outline: A call that changes an instance
    # Guards against a call that is taken as not executed though it may be,
    # and against an answer that ends the duties.
    Given a service that <behaviour>
    When an instance is moved
    Then the outcome is "<outcome>"

    Examples:
      | behaviour             | outcome    |
      | is not there          | unknown    |
      | closes the connection | unknown    |
      | answers 500           | unknown    |
      | answers 429           | limited    |
      | answers 400           | impossible |
      | answers 409 unread    | busy       |

  Scenario Outline: Lists and questions
    # Guards against half a list, or no answer, that counts as an empty one.
    Given a service that <behaviour>
    When the instances are listed and the policy is asked
    Then there is neither a list nor an answer

    Examples:
      | behaviour             |
      | is not there          |
      | closes the connection |
      | answers 429           |
      | answers 200 unread    |
