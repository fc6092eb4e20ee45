Feature: A node passes calls on to the leader

  Scenario: A call that waits for a silent leader goes to the next one
    # Guards against 504 answers for as long as callers wait, although another
    # node leads by then (inc-125e).
    Given a node whose leader does not answer
    When a call arrives and another node leads 0.5 s later
    Then the new leader's answer is passed back within 1.2 s

  Scenario: A call fails as unknown while nobody else leads
    # Guards against a refusal that says not executed, though the silent
    # leader may have executed the call.
    Given a node whose leader does not answer
    When a call arrives that may take 0.6 s
    Then its outcome is unknown after 0.6 s

  Scenario: A call that reached no leader was surely not executed
    # Guards against a caller that must assume that its job may run.
    Given a node that knows no leader
    When a call arrives that may take 2 s
    Then it is refused as not executed within 0.6 s
