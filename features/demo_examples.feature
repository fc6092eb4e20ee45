Feature: Examples of both deployments

  Scenario Outline: Sample files of a deployment
    # Guards against samples that the daemons reject because only the schema
    # was changed.
    Given the sample files of <region>
    When each sample file is loaded as the daemons load it
    Then <entries> entry, 3 control and 5 document samples are valid
    And the samples equal what their generator writes

    Examples:
      | region | entries |
      | mexico | 12      |
      | ghana  | 11      |
