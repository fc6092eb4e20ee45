Feature: A node passes calls on to the leader

  Scenario: A call that waits for a silent leader goes to the next leader
    # Guards against 504 answers at the end of the callers' timeouts, although
    # another node has become the leader by then (inc-125e).
    Given a node whose leader does not answer
    When a call arrives and another node leads 0.5 s later
    Then the new leader's answer is passed back within 1.2 s

  Scenario: The outcome of a call is unknown while no other node leads
    # Guards against a refusal that claims that the call was not executed,
    # although the leader that does not answer may have executed it.
    Given a node whose leader does not answer
    When a call arrives with a timeout of 0.6 s
    Then its outcome is unknown after 0.6 s

  Scenario Outline: The leader fails while it handles a call
    # Guards against a refusal that claims that the call was not executed,
    # although the error came after the commit of its command.
    Given a node whose leader answers with status <status>
    When a call arrives with a timeout of 0.4 s
    Then the call counts as <outcome>

    Examples:
      | status | outcome      |
      | 500    | unknown      |
      | 504    | unknown      |
      | 400    | not executed |
      | 403    | not executed |

  Scenario: A call that reached no leader is refused as not executed
    # Guards against a caller that has to assume that its job may run.
    Given a node that knows no leader
    When a call arrives with a timeout of 2 s
    Then it is refused as not executed within 0.6 s
