Feature: Claims let a keyed request run at most once

  Scenario: Random histories of claims, answers, releases, repeats and crashes
    # Guards against a second execution of a keyed request through another
    # entry, after a restart, from a late message or after a failover.
    When 4 entries use 5 keys in random histories
    Then each key is granted again only after a certain release
    And an answered key keeps giving its first answer

  Scenario: The end of an entry makes its open claims unknown
    # Guards against a claim that stays in progress forever, and against one
    # that is deleted while its request may still run.
    Given a state with live entry-1 and entry-2
    When entry-1 claims key k and its lease ends
    Then a repeat through entry-2 gets unknown
    And the ended entry gets no new claim

  Scenario: A key reused with another body
    # Guards against the answer of one request given to another.
    Given a state with live entry-1 and entry-2
    When entry-1 claims key k and entry-2 claims it with another digest
    Then entry-2 gets mismatch

  Scenario: A claim that arrives after its release
    # Guards against a delayed duplicate that blocks a key whose request
    # was answered not-run.
    Given a state with live entry-1 and entry-2
    When the release of key k arrives before its claim
    Then the late claim is not granted and a new request is

  Scenario: Answers are bounded
    # Guards against recorded answers that use up the memory of the control
    # processes.
    Given a state with live entry-1 and entry-2
    When 700 answers of 64 KiB and one of 70 KiB are recorded
    Then at most 16 MiB of bodies are kept and every status remains

  Scenario: Records expire by log time
    # Guards against a table that grows without bound, and against a jump of
    # the wall clock by which a key expires early.
    Given a state with live entry-1 and entry-2
    When a key is answered and the wall clock jumps by 30 days
    Then the key is still answered
    When 28 hours of log time pass
    Then the key has expired and an open claim has not

  Scenario: A full table refuses new claims but records outcomes
    # Guards against the loss of an outcome, or of a record within its
    # retention, under overload.
    Given a claim table for 3 claims that is full
    When a batch brings an outcome and a new claim
    Then the new claim is refused and the outcome is recorded

  Scenario: Many claim calls share one log record
    # Guards against one fsync for each keyed request.
    When 300 claim calls arrive at once
    Then at most 3 records are written and each call gets its own reply
