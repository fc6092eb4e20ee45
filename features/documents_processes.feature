Feature: Accepted documents survive the control processes

  Scenario: All control processes are killed after hundreds of changes
    # Guards against a revision that is lost, reordered or accepted twice when
    # every process restarts from its disk.
    Given 3 control processes on disk and 3 renewing entries
    When 300 revisions of one document are submitted
    And all control processes are killed and started again
    Then revision 300 has the last document and the history is in order
    And a repeat of the last submission gets its first answer

  Scenario: Two operators submit concurrently while the leader is killed
    # Guards against two accepted documents on one base revision, or a lost
    # one, when the answers are lost with the leader.
    Given 3 control processes on disk and 3 renewing entries
    When two operators submit on the same base 10 times while leaders are killed
    Then on each base one document is accepted and the other is a conflict
    And no entry ever applied a lower revision than before

  Scenario: A replica that lost its disk loses no accepted document
    # Guards against a replaced replica that votes with an empty log.
    Given 3 control processes on disk and 3 renewing entries
    When 20 revisions of one document are submitted
    And a follower loses its disk and the leader is killed
    Then 20 more revisions can be submitted and all 40 are in order
