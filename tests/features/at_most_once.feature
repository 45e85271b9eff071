Feature: An action runs at most once and its outcome is honest

  Scenario: Repeats through every entry give the same answer
    Given a fleet of 3 entries
    And an action with a ticket of e1
    When the action is sent through e1
    And the action is sent through e2
    And the action is sent through e3
    Then the action has run 1 time
    And all answers have the same body

  Scenario: Repeats while the action runs wait for its outcome
    Given a fleet of 3 entries
    And an action with a ticket of e2
    When the upstreams of till change to {"slow": 200, "sigma": 0.01}
    And the action is sent through e1 in the background
    And the upstreams of till change to {"slow": 1}
    And the action is sent through e3
    And the background call has ended
    Then the action has run 1 time
    And all answers have the same body

  Scenario: Without an identity an action is refused
    Given a fleet of 1 entries
    When POST /till/x is called through e1
    Then the answer has status 428
    And the answer has outcome not-run and reason identity_required

  Scenario: The issuer is killed after sending
    Given a fleet of 3 entries
    And an action with a ticket of e2
    When the upstreams of till change to {"slow": 200, "sigma": 0.01}
    And the action is sent through e2 in the background
    And entry e2 is killed
    And the background call has ended
    And the upstreams of till change to {"slow": 1}
    Then the directory of e1 no longer lists e2
    When the action is sent through e1
    Then the answer has outcome unknown
    When the action is sent through e3
    Then the answer has outcome unknown
    And the action has run at most once

  Scenario: The issuer is killed and started again at the same address
    Given a fleet of 3 entries
    And an action with a ticket of e2
    When the action is sent through e2
    And entry e2 is killed
    And entry e2 is started again at the same address
    And the action is sent through e2
    Then the answer has outcome unknown and reason issuer_gone
    When the action is sent through e1
    Then the answer has outcome unknown and reason issuer_gone
    And the action has run 1 time

  Scenario: The issuer is frozen
    Given a fleet of 3 entries
    And an action with a ticket of e2
    When entry e2 is frozen
    And the action is sent through e1
    Then the answer has outcome unknown
    When entry e2 is thawed
    And all entries are ready
    And the action is sent through e3
    And the action is sent through e1
    Then the action has run at most once

  Scenario: The home is killed after sending
    Given a fleet of 3 entries
    And an action with a ticket of an entry that is not the home of till
    When the upstreams of till change to {"slow": 200, "sigma": 0.01}
    And the action is sent through the issuer in the background
    And the home of till is killed
    And the background call has ended
    Then the answer has outcome unknown and reason peer_lost
    And the action has run at most once
    When the upstreams of till change to {"slow": 1}
    And the action is sent through the issuer
    Then the answer has outcome unknown and reason peer_lost
    And the action has run at most once

  Scenario: An upstream cuts the answer
    Given a fleet of 3 entries
    And an action with a ticket of e1
    When the upstreams of till change to {"mode": "cut"}
    And the action is sent through e1
    Then the answer has outcome unknown
    When the upstreams of till change to {"mode": "serve"}
    And the action is sent through e3
    Then the answer has outcome unknown
    And the action has run 1 time

  Scenario: Every upstream sheds
    Given a fleet of 3 entries
    And an action with a ticket of e1
    When the upstreams of till change to {"mode": "shed"}
    And the action is sent through e2
    Then the answer has outcome not-run and reason shed
    And the action has run 0 times
    When the upstreams of till change to {"mode": "serve"}
    And the action is sent through e3
    Then the answer has outcome not-run and reason shed
    And the action has run 0 times

  Scenario: The deadline passes at the upstream
    Given a fleet of 3 entries
    And an action with a ticket of e1
    When the upstreams of till change to {"slow": 100000}
    And the action is sent through e1
    Then the answer has outcome unknown and reason deadline
    When the upstreams of till change to {"slow": 1}
    And the action is sent through e2
    Then the answer has outcome unknown and reason deadline
    And the action has run 1 time
