Feature: The demo of the whole path

  Scenario: The demo passes and cleans up
    # Guards against a demo that no longer shows what it claims, or that
    # leaves processes running.
    When the demo runs as a process of its own
    Then it ends with status 0 and reports nothing lost and nothing run twice
    And no process of the demo is left
