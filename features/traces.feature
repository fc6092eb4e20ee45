Feature: Traces

  Scenario Outline: Generated traces
    # Guards against figures that cannot be reproduced, and against traces
    # whose demand is unlike that of the deployments.
    Given two traces of <deployment> generated from one seed
    Then both are equal and ordered by time
    And another seed gives another trace
    And the queues peak one after another at five times their mean
    And a tenth of the declared classes are wrong
    And the outcomes beside the trace count its requests

    Examples:
      | deployment |
      | mexico     |
      | ghana      |

  Scenario: A daemon is killed while it records
    # Guards against a partly written line that makes the whole trace
    # unreadable.
    Given a recorder that wrote 3 cancellations and was killed in a fourth
    When a new recorder continues the file with 2 cancellations
    Then the trace has 5 events ordered by time

  Scenario Outline: Unusable traces
    # Guards against a traceback, or no error at all, for a damaged file.
    Given a trace file with <fault>
    When the trace file is read
    Then the error names <place> and a remedy

    Examples:
      | fault                | place   |
      | no header            | header  |
      | another version      | version |
      | a malformed line     | :3      |
      | decreasing times     | :3      |

  Scenario: No secrets in a trace
    # Guards against keys or bodies of customers in recorded files.
    Given a generated trace of mexico with keyed requests
    Then no line holds an idempotency key, a caller key or a body

  Scenario: Burn report from a trace
    # Guards against a report from a trace that differs from the report from
    # live counts.
    Given a trace with 90 good outcomes, 6 overloaded and 4 by a drained worker
    When the burn report is made from the trace
    Then 6 are attributed to overload and 4 to the maintenance by name
    And the budget is that of the submitted document

  Scenario: A full disk
    # Guards against a recorder whose write error stops its daemon.
    Given a recorder whose disk is full
    When it records until its buffer is written
    Then the recorder has stopped and the daemon continues

  Scenario Outline: Replay on virtual time
    # Guards against a change of the entries' decisions that loses requests,
    # runs them twice or exceeds the slots in a whole deployment.
    Given a trace of <deployment> over 40 s with a lost rack
    When it is replayed on virtual time
    Then the replay reaches the outcomes beside the trace
    And a second replay gives the same result

    Examples:
      | deployment |
      | mexico     |
      | ghana      |

  Scenario: Replay against real processes
    # Guards against a replay on virtual time that behaves unlike the daemons.
    Given a trace of mexico over 8 s with a lost rack
    When it is replayed against real processes
    Then the replay reaches the outcomes beside the trace
