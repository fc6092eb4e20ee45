Feature: Log and snapshot files keep what was acknowledged

  Scenario: Any sequence of writes, crashes and failures
    # Guards against acknowledged entries or votes that a crash loses, and
    # against a log that recovers to a state that was never written.
    Then the recovered log is the written one in 150 random histories

  Scenario: A crash at each file operation
    # Guards against a crash between two file operations that leaves a folder
    # which does not open or lacks acknowledged entries.
    Given a log store that wrote entries, a snapshot and a leader's snapshot
    When power is lost at each of its file operations in turn
    Then every recovered log holds what was acknowledged before the crash

  Scenario Outline: Damage of the log
    # Guards against a damaged record that is mistaken for the end of the log,
    # which would silently drop acknowledged entries, and against a torn write
    # that keeps a replica from starting.
    Given a log store with three segments
    When its log gets <damage>
    Then opening the log store <result>

    Examples:
      | damage                            | result                     |
      | a torn last write                 | gives all complete entries |
      | a flipped bit in the first record | is refused with the remedy |
      | a flipped bit in an old segment   | is refused with the remedy |
      | a missing middle segment          | is refused with the remedy |
      | a missing first segment           | is refused with the remedy |
      | a missing identity                | is refused with the remedy |
      | a damaged snapshot                | is refused with the remedy |
      | another replica's name            | is refused with the remedy |

  Scenario: Two processes with one data folder
    # Guards against two replicas that append to the same files.
    Given a data folder that a process has open
    Then opening the data folder again is refused with the remedy

  Scenario Outline: A disk that cannot store
    # Guards against the acknowledgement of an entry that is not on the disk,
    # also after the operator repaired the disk without restarting the replica.
    Given a log store on a disk that becomes <state>
    When it writes an entry, is repaired and writes another one
    Then both writes are refused and the restarted store lacks the second

    Examples:
      | state                    |
      | full                     |
      | unable to complete fsync |

  Scenario Outline: A disk that stores again
    # Guards against a replica that never writes again after one refused
    # write, and against a retry that trusts a file after a failed fsync.
    Given a log store whose disk is about to be <state> at <moment>
    When the disk refuses the write and several retries, and is repaired
    Then a retry completes the write and later writes succeed
    And after a power loss the log store holds all of them

    Examples:
      | state                    | moment                  |
      | full                     | an entry                |
      | full                     | a new segment           |
      | full                     | its own snapshot        |
      | full                     | a snapshot of the leader |
      | unable to complete fsync | an entry                |
      | unable to complete fsync | a new segment           |
      | unable to complete fsync | its own snapshot        |
      | unable to complete fsync | a snapshot of the leader |
      | full once                | an entry                |
      | full once                | a snapshot of the leader |
