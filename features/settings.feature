Feature: Settings and documents report every error at once

  Scenario: Five errors in one settings file
    # Guards against a check that stops at the first error, so that five
    # errors take an operator five attempts to correct.
    Given an entry settings file with five separate errors
    When the settings file is loaded
    Then 5 problems are reported, each with a path and a remedy
    And no problem shows the deployment key

  Scenario Outline: Unusable input
    # Guards against a traceback instead of a clear error.
    Given a settings file that is <kind>
    When the settings file is loaded
    Then 1 problems are reported, each with a path and a remedy

    Examples:
      | kind          |
      | empty         |
      | huge          |
      | deeply nested |
      | not UTF-8     |
      | malformed     |

  Scenario: The configuration reference
    # Guards against a reference that was not updated with the settings types.
    Then docs/configuration.md is what the settings types render
