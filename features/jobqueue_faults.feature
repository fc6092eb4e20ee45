Feature: The job queue keeps its rules under faults

  Scenario Outline: Seeded schedules of faults
    # Guards against two runs of a task at once, starts after an end, before
    # their time, after the last attempt or after a cancellation, and against
    # lost jobs, through changes of the leader, cuts, crashes, late and lost
    # messages and slow disks.
    When the schedules with seeds <first> to <last> are played
    Then no rule is broken and every accepted job ends

    Examples:
      | first | last |
      | 0     | 7    |
      | 120   | 123  |
      | 133   | 133  |
      | 145   | 145  |

  Scenario Outline: Code broken on purpose is caught
    # Guards against schedules that cannot fail.
    When the schedules run with <change>
    Then a schedule reports <rule>

    Examples:
      | change                              | rule  |
      | leases that count as over at once   | TWICE |
      | orders of a leader without a lease  | TWICE |
      | unlisted runs given up at any beat  | TWICE |
      | dependencies that are not checked   | ORDER |
