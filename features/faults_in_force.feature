Feature: An accepted document is in force everywhere and never reverts
  The second revision removes an operation. An entry that serves it then
  answers 404, so callers can tell the revision that an entry applies.

  Scenario: The leader is killed right after it accepted a document
    # Guards against an accepted document that is lost in an election.
    Given a trial with 3 control, 3 entry and 6 target processes
    When a second revision is accepted and the control leader is killed
    Then the second revision is in force
    And no entry serves the first revision

  Scenario: A control process behind a broken link
    # Guards against a partition that stops submissions, or a partitioned
    # leader that still grants leases for an older revision.
    Given a trial with 3 control, 3 entry and 6 target processes behind proxies
    Then after each cut a new revision is in force and no entry serves the old
      | role     | links         |
      | leader   | all links     |
      | leader   | lost requests |
      | leader   | lost answers  |
      | follower | all links     |

  Scenario: An entry that is cut off does not serve an older revision
    # Guards against an entry that answers under a revision that is no longer
    # in force, because its lease has not ended.
    Given a trial with 3 control, 3 entry and 6 target processes behind proxies
    When "entry-1" is cut off from everyone
    And a second revision is accepted
    Then the second revision is in force
    And no entry serves the first revision

  Scenario: Operators submit at the same time
    # Guards against two accepted submissions for one base revision, and
    # against a resend after a lost answer that counts as a new submission.
    Given a trial with 3 control, 3 entry and 6 target processes
    When 5 operators submit under the same base revision and each resends twice
    Then exactly 1 is accepted and 4 get a conflict with the difference
    And each resend got the first answer

  Scenario: Processes start again after hundreds of changes
    # Guards against a process that cannot catch up or applies changes twice.
    Given a trial with 3 control, 3 entry and 6 target processes
    When a control follower and "entry-2" are killed
    And 200 revisions are submitted
    And both start again
    Then both apply the last revision
    And the killed follower and one other replica form a majority

  Scenario: Processes start again after a key was withdrawn
    # Guards against a process that accepts a withdrawn key, or sends work to
    # an instance that has left, because it starts from an older state.
    Given a trial with 3 control, 3 entry and 6 target processes
    When the key of a customer is withdrawn and the target "worker-2" leaves
    And all control processes and entries are killed and start again
    Then every entry accepts the key of another customer within 20 s
    And no entry accepts the withdrawn key for 4 s
    And "worker-2" has started no work since

  Scenario: A document that the fleet cannot meet now
    # Guards against an operator who is not told that a document waits for
    # instances that have not been started.
    Given a trial with 3 control, 3 entry and 6 target processes
    When a document asks for data centres that do not exist
    Then it is accepted with a warning that names them
