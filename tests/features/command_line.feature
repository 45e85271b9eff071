Feature: Operators use the command line

  Scenario: A document goes from a file to production
    Given a platform
    When the document file is submitted with base 0
    Then the command ends with code 0
    When the document file is submitted with base 0
    Then the command ends with code 4
    And the output names the revision in force
    When the document is promoted to production
    Then the command ends with code 0
    When the history of production is listed
    Then the command ends with code 0
    And the history has 1 change

  Scenario: Operators look at a fleet
    Given a fleet of 2 entries
    When the status command is run against e1
    Then the command ends with code 0
    And the output lists 2 entries that are alive
    When the upstreams command is run against e1
    Then the command ends with code 0
    And the output lists 6 upstreams

  Scenario: An entry runs from a document file alone
    Given an entry that reads a document file
    Then the next 3 calls of /till/x through solo are answered
    And the log of solo reports that there is no platform

  Scenario Outline: Bad settings end the daemon with one line
    When the daemon is started with <flag>
    Then the command ends with code 2
    And the output is one line that names <name>

    Examples:
      | flag                    | name            |
      | --callers=nonsense      | --callers       |
      | --drain-seconds=-1      | --drain-seconds |
      | --log-format=xml        | --log-format    |
