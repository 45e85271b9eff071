Feature: An accepted document is in force everywhere and never reverts

  Scenario: A change comes in force on all entries
    Given a fleet of 3 entries
    When a change is accepted
    Then every entry has the last accepted revision in force

  Scenario Outline: Answers to a submission are lost after it took effect
    Given a fleet of 2 entries
    When the platform changes to {"lose_answers": <lost>}
    And a change is accepted
    Then every entry has the last accepted revision in force
    And the platform has the last accepted revision

    Examples:
      | lost |
      | 1    |
      | 2    |
      | 4    |

  Scenario: Two operators race
    Given a fleet of 2 entries
    When two operators submit changes based on the same revision
    Then one change is accepted and the other is a conflict
    And every entry has the last accepted revision in force

  Scenario: A watch is cut and its events are late
    Given a fleet of 3 entries
    When the platform changes to {"cut_watches": true, "watch_delay_ms": 3000}
    And a change is accepted
    Then every entry has the last accepted revision in force

  Scenario: A change after an outage
    Given a fleet of 3 entries
    When the platform changes to {"down": true}
    Then the next 5 calls of /till/x through e1 are answered
    And a submission cannot reach the platform
    When the platform changes to {"down": false}
    And a change is accepted
    Then every entry has the last accepted revision in force

  Scenario: A fresh entry during an outage takes the highest from its peers
    Given a fleet of 2 entries
    When a change is accepted
    Then every entry has the last accepted revision in force
    When the platform changes to {"down": true}
    And a new entry e3 is started
    And all entries are ready
    Then every entry has the last accepted revision in force
    And the next 5 calls of /till/x through e3 are answered

  Scenario: The platform comes back in an older state
    Given a fleet of 3 entries
    When the platform changes to {"save": true}
    And a change is accepted
    Then every entry has the last accepted revision in force
    When the platform changes to {"restore": true}
    Then no entry reports an older revision for 3 seconds
    And the platform has the last accepted revision
    When a new entry e4 is started
    And all entries are ready
    Then every entry has the last accepted revision in force

  Scenario: An upstream that the document drops gets nothing new
    Given a fleet of 2 entries
    When a change without one upstream of roundsheet is accepted
    Then every entry has the last accepted revision in force
    And one upstream of roundsheet gets no new calls while the others do
