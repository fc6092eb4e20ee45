Feature: The replicas agree on one log

  Scenario: Random fault schedules
    # Guards against lost or reordered writes, stale reads, two leaders in a
    # term and a replica that never catches up, under crashes at any fsync,
    # lost, one-way, delayed and duplicated messages, full disks and replaced
    # replicas.
    When 30 fault schedules run on virtual time
    Then no fault schedule violates an invariant

  Scenario Outline: The checks of the schedules can fail
    # Guards against checks that would also pass a replica that <fault>.
    # Each range starts shortly before the first schedule that reports a
    # violation, which shortens the run.
    When a replica that <fault> runs schedules <first> to 60 with <faults>
    Then a schedule reports a violation

    Examples:
      | fault                         | first | faults                             |
      | acknowledges before fsync     | 1     | power loss of all, slow sync, kill |
      | acknowledges refused writes   | 1     | failed sync, kill                  |
      | repeats a failed fsync        | 1     | failed sync, power loss of all     |
      | forgets its vote              | 6     | kill, isolate                      |
      | ignores its lease             | 5     | stale leader, isolate              |
      | commits by counting old terms | 7     | kill, isolate, loss                |

  Scenario Outline: A follower without heartbeats asks for votes
    # Guards against the election of a second leader while the first one still
    # serves reads under its lease. The broken replica shows that the check can
    # fail.
    Given three simulated replicas that <kind> with a leader
    When a follower receives nothing from the leader and asks for votes
    And the leader is isolated at that moment
    Then a write completes while the old leader serves reads: <overlap>

    Examples:
      | kind                                | overlap |
      | refuse votes while a leader is live | no      |
      | ignore a live leader                | yes     |

  Scenario: A voter crashes after its vote
    # Guards against two votes of one voter in one term.
    Given three simulated replicas with a leader
    When a follower votes for one candidate, loses power and restarts
    Then it rejects another candidate of the same term

  Scenario: The leader receives no messages
    # Guards against a leader whose heartbeats still arrive although it
    # receives no replies, so that no other leader is elected and nothing can
    # be written.
    Given three simulated replicas with a leader
    When the leader can send but receives nothing for 3600 seconds
    Then another simulated replica leads and commands complete
    And the previous leader serves no read

  Scenario: An isolated follower returns
    # Guards against a follower that raises its term while it is isolated and
    # so deposes the leader when it returns.
    Given three simulated replicas with a leader
    When a follower is isolated for 3600 seconds and returns
    Then the same simulated replica leads in the same term

  Scenario: Every disk is slow
    # Guards against a slow fsync that delays heartbeats, so that the leader
    # loses its lease and an election starts.
    Given three simulated replicas with a leader
    When every fsync takes 5 seconds for 60 seconds of commands
    Then the same simulated replica leads in the same term

  Scenario: The leader's disk is full
    # Guards against a leader that cannot store but does not step down.
    Given three simulated replicas with a leader
    When the leader's disk becomes full during a command
    Then the leader reports the storage failure and steps down
    And another simulated replica leads and commands complete

  Scenario: The disk of each leader in turn is full for some seconds
    # Guards against replicas that never write again after one refused write,
    # so that the second full disk of a deployment ends the log for good.
    Given three simulated replicas with a leader
    When the disk of each of 6 leaders is full for 4 seconds
    Then another replica acknowledged commands within 1 second each time
    And every simulated replica applies the latest command within 2 seconds

  Scenario: All disks are full for some seconds
    # Guards against a log that stays unavailable once the disks have room.
    Given three simulated replicas with a leader
    When all disks are full for 4 seconds
    Then nothing was acknowledged meanwhile
    And every simulated replica applies the latest command within 4 seconds

  Scenario: A planned stop of the leader
    # Guards against upgrades that leave the group without a leader for an
    # election timeout.
    Given three simulated replicas with a leader
    When the leader transfers its leadership and its process ends
    Then another simulated replica leads within 50 ms

  Scenario: A second disk is lost right after a repair
    # Guards against a new identity that counts as a voter before it holds
    # the log, and against a second disk loss that loses acknowledged writes.
    Given three simulated replicas with a leader
    When each replica in turn loses its disk and is replaced
    Then all commands acknowledged before are still applied
    And the membership holds three voters with new identities

  Scenario: Two running processes with the same name
    # Guards against a settings file copied by mistake, by which a new process
    # would remove a healthy replica from the membership.
    Given three simulated replicas with a leader
    When an empty replica asks to join under a running follower's name
    Then the membership is unchanged

  Scenario: A follower missed more than the log holds
    # Guards against a log that grows without bound and against a replica
    # that cannot catch up once the entry it needs next was compacted.
    Given three simulated replicas with a leader
    When a follower is down for 500 commands and returns
    Then it catches up from a snapshot in parts
    And each simulated replica holds fewer than 60 entries

  Scenario: A replica is replaced by one with another name
    # Guards against stopped voters that accumulate until the running ones are
    # no majority: a replacement on another instance has another name.
    Given three simulated replicas with a leader that keep three voters
    When a follower stops for good and an empty replica with another name starts
    Then within 12 seconds the voters are the running replicas

  Scenario Outline: A disk is lost soon after a voter was replaced
    # Guards against a stopped voter that counts for longer than a replica may
    # take to catch up: with two of four voters left nobody can be elected.
    Given three simulated replicas with a leader that keep three voters
    When an empty replica with another name votes and a follower <ends>
    And <pause> s later the <lost> loses its disk
    Then a command is acknowledged within 5 s
    And all commands acknowledged before are still applied by those running

    Examples: ends
      | ends                            | pause | lost     |
      | announces its stop and ends     | 4.5   | leader   |
      | announces its stop and ends     | 4.5   | follower |
      | ends and is removed after 2 s   | 4.5   | leader   |
      | ends and is removed after 2 s   | 4.5   | follower |

  Scenario: A voter announces its stop and restarts
    # Guards against a replica that is removed although it only restarts.
    Given three simulated replicas with a leader that keep three voters
    When a follower announces its stop, restarts, and a fourth voter joins
    Then after 8 s all four replicas vote
