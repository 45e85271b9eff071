Feature: Retries stay within one budget however deep calls nest

  Scenario Outline: A failed bottom layer is tried at most three times
    Given a chain of 25 layers whose applications <copy> the retries left
    When the bottom layer fails and the top layer is called
    Then the answer has status 500
    And the bottom layer has been called at most 3 times
    And every other layer has been called 1 time

    Examples:
      | copy      |
      | pass on   |
      | leave out |

  Scenario: A sound chain answers through all layers
    Given a chain of 25 layers whose applications pass on the retries left
    When the top layer is called
    Then the answer has status 200
    And every other layer has been called 1 time
