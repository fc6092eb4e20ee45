Feature: Traces

  Scenario Outline: Generated traces
    # Guards against figures that cannot be repeated, and against traces
    # without the demand that the deployments have.
    Given two traces of <deployment> generated from one seed
    Then both are equal and in the order of time
    And another seed gives another trace
    And each queue peaks in turn at five times its mean
    And a tenth of the declared classes are wrong
    And the outcomes beside the trace count its requests

    Examples:
      | deployment |
      | mexico     |
      | ghana      |

  Scenario: A daemon is killed while it records
    # Guards against a torn line that makes the whole trace unreadable.
    Given a recorder that wrote 3 cancellations and was killed in a fourth
    When a new recorder continues the file with 2 cancellations
    Then the trace has 5 events in the order of time

  Scenario Outline: Unusable traces
    # Guards against a traceback, or silence, for a damaged file.
    Given a trace file with <fault>
    When the trace file is read
    Then the error names <place> and a remedy

    Examples:
      | fault                | place   |
      | no header            | header  |
      | another version      | version |
      | a malformed line     | :3      |
      | a step back in time  | :3      |

  Scenario: No secrets in a trace
    # Guards against keys or bodies of customers in recorded files.
    Given a generated trace of mexico with keyed requests
    Then no line holds an idempotency key, a caller key or a body

  Scenario: Burn report from a trace
    # Guards against a report that differs between live counts and a trace.
    Given a trace with 90 good outcomes, 6 overloaded and 4 by a drained worker
    When the burn report is made from the trace
    Then 6 are put down to overload and 4 to the maintenance by name
    And the budget is that of the submitted document

  Scenario: A full disk
    # Guards against a recorder that ends its daemon.
    Given a recorder whose disk is full
    When it records until its buffer is written
    Then the recorder has ended and the daemon goes on

  Scenario Outline: Replay on virtual time
    # Guards against a change of the entries' decisions that loses work, runs
    # it twice or exceeds the slots, at the size of a whole deployment.
    Given a trace of <deployment> over 40 s with a lost rack
    When it is replayed on virtual time
    Then the replay reaches the outcomes beside the trace
    And a second replay gives the same result

    Examples:
      | deployment |
      | mexico     |
      | ghana      |

  Scenario: Replay against real processes
    # Guards against a difference between the replay and the daemons.
    Given a trace of mexico over 8 s with a lost rack
    When it is replayed against real processes
    Then the replay reaches the outcomes beside the trace
