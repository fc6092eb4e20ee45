Feature: Real nodes of the platform adapter under signals

  Scenario: One seeded run of the soak
    # Guards against faults that the simulated schedules cannot show, because
    # they have no processes, sockets, disks, settings files or signals.
    When the soak test runs with its seed for 8 seconds
    Then no rule is broken and no node ends by itself

  Scenario: A core machine is replaced and the next one loses its disk
    # Guards against a majority that is lost because the replaced machine still
    # counts, and against changes that were acknowledged and are gone.
    When 1 core machine is replaced and a disk is lost while the configuration changes
    Then every change was acknowledged and the last one is read back

  Scenario: A fresh deployment of one node
    # Guards against a fixed minimum of replicas: one node with a disk is
    # enough to start a new deployment.
    When a deployment of 1 node with a disk and 1 without starts
    Then a configuration is acknowledged and read back at both

  Scenario: A stopped node answers every request that it accepted
    # Guards against callers that lose an answer because of a planned stop.
    Given a running deployment of 3 nodes with a disk and 1 without
    When a node without a disk is stopped while callers use it
    Then each of its callers gets a complete answer or no connection
    And the node ends within 5 seconds
