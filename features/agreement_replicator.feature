Feature: The replicator joins core, disk, clock and other replicas

  Scenario: Commands, reads and a planned stop
    # Guards against a result that does not reach its caller, and against a
    # planned stop that leaves the group without a leader for an election
    # timeout.
    Given three replicators on folders with a leader
    When 300 commands are proposed at once
    Then each caller got the result of its own command
    And a read barrier on the leader covers all commands
    When the leading replicator stops
    Then another replicator leads and a follower names it
    And a stopped replicator refuses commands as not accepted

  Scenario: Commands within one append interval share an append
    # Guards against one message to each replica for each command, which uses
    # up the leader's processor.
    Given three replicators with a leader that append every 200 ms
    When 40 commands are proposed within 100 ms
    Then each caller got the result of its own command
    And the leader called each follower fewer than 8 times
    When one command is proposed after a pause
    Then it does not wait for the interval

  Scenario: A restart after hundreds of changes
    # Guards against a restarted replica with an older state than before.
    Given three replicators on folders with a leader
    When 300 commands are proposed at once
    And all replicators stop and start again
    Then every replicator applies the same 300 commands

  Scenario: The first replica loses its disk
    # Guards against a second, empty log: the replica that created the first
    # one finds its folder empty and "bootstrap" still set.
    Given three replicators on folders with a leader
    When 300 commands are proposed at once
    And control-1 starts again on an empty folder
    Then every replicator applies the same 300 commands
    And control-1 votes under its new identity

  Scenario: A new deployment where one replica does not answer
    # Guards against a log that is created while another replica may already
    # hold one.
    Given three replicators of which control-3 does not answer
    When the replicators run for several join attempts
    Then no replicator has created a log

  Scenario: The disk of the leader fails
    # Guards against a disk failure that is visible only in the log file, and
    # against a caller that waits forever.
    Given three replicators on folders with a leader
    When the leading replicator's disk fails during a command
    Then the caller is told that the outcome is unknown
    And the status of that replicator names the failure
    And its metrics show a data folder that refuses writes, and the free bytes
    And its metrics show that it neither leads nor stores what the others store
    And another replicator leads and a follower names it
    When the disk of that replicator works again
    Then within 2 seconds it follows and holds new commands on its disk
    And its metrics show a data folder that accepts writes

  Scenario: A replica starts while its disk is full
    # Guards against a process that ends at every start until an operator
    # frees space, and against a replica that is taken for one without a log.
    Given three replicators on folders with a leader
    When the leading replicator restarts on a disk that fails
    Then the status of that replicator names the failure
    And it refuses commands and answers no messages
    When the disk of that replicator works again
    Then within 2 seconds it follows and holds new commands on its disk

  Scenario: Messages to another identity and undecodable messages
    # Guards against a replica that handles messages to the lost identity that
    # had its address before, and against undecodable bodies.
    Given three replicators on folders with a leader
    Then a message to another identity gets an empty reply
    And an undecodable message is refused

  Scenario Outline: A majority of control replicas is lost permanently
    # Guards against a surviving replica whose state cannot be restored, and
    # against a restore that overwrites a data folder.
    Given three replicators on folders with a leader
    When 300 commands are proposed at once
    And control-2 and control-3 lose their disks and control-1 stops
    And control-1 is restored from <source>
    And the other replicas start on empty folders
    Then every replicator applies the same 300 commands
    And all three replicas vote in the restored log
    And restoring again into the same folder is refused with the remedy

    Examples:
      | source                         |
      | its data folder                |
      | a copy of its snapshot file    |

  Scenario: Hundreds of large commands
    # Guards against a log that is compacted by the number of its entries only
    # and fills the disks of all replicas (review/2).
    Given three replicators on folders with a leader that keep the last command
    When 400 commands of 0.5 MB are proposed one after the other
    Then no data folder ever held more than half of a disk of 128 MB
    And no replica holds more than 16 MB of the log in memory
    When control-1 starts again on an empty folder
    Then it has the last command and votes again within 4 s

  Scenario: Commands arrive while no follower stores any
    # Guards against a leader whose memory fills with commands that cannot be
    # committed (review/4).
    Given three replicators on folders with a leader that keep the last command
    When the disks of the followers stall and 100 commands of 0.5 MB arrive
    Then the leader has appended at most 20 MB and refused the others
    When the disks of the followers work again
    Then a command is committed within 2 s

  Scenario: The largest command and a larger one
    # Guards against a command that no replica accepts in a message, so that
    # the leader repeats it for ever and all later ones wait (review/4).
    Given three replicators on folders with a leader that keep the last command
    Then an append of the largest command fits into a message between nodes
    When the largest command and one that is a byte larger are proposed
    Then the first is committed and the second is refused as too large
    And only the first was appended
    And a command is committed within 2 s
