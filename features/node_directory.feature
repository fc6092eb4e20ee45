Feature: Nodes know which replica leads

  Scenario: A replica that gave up leadership is no longer reported as leader
    # Guards against nodes that report ready and pass calls on although no
    # replica leads: the load balancer keeps them and every call fails (inc1).
    Given a node whose replica leads
    And a node that has confirmed this leader
    When the replica gives up leadership
    And the second node sends a hello to the first
    Then neither node knows a leader
    And the second node has no confirmed leader

  Scenario: A replica that cannot vote keeps the leader that others report
    # Guards against a replica with a full disk that refuses the calls which it
    # could pass on to the leader.
    Given a node whose replica knows no leader
    When another node reports that it leads
    And the replica still knows no leader
    Then the first node knows the other one as leader
