Feature: Entries come and go

  Scenario: A killed entry leaves the directory and its homes move
    Given a fleet of 3 entries
    When entry e2 is killed
    Then the directory of e1 no longer lists e2
    And the directory of e3 no longer lists e2
    And eventually /till/x is answered through e1
    And eventually /roundsheet/x is answered through e3

  Scenario: A frozen entry leaves and comes back when it wakes
    Given a fleet of 3 entries
    When entry e3 is frozen
    Then the directory of e1 no longer lists e3
    And eventually /till/x is answered through e1
    And eventually /roundsheet/x is answered through e2
    When entry e3 is thawed
    Then the directory of e1 lists 3 entries
    And the directory of e3 lists 3 entries
    And the next 5 calls of /till/x through e3 are answered

  Scenario: A draining entry leaves the directory and stops cleanly
    Given a fleet of 3 entries
    When entry e1 receives SIGTERM
    Then the directory of e2 no longer lists e1
    And entry e1 has stopped with exit code 0
    And the next 5 calls of /till/x through e2 are answered

  Scenario: Membership goes on without the platform
    Given a fleet of 3 entries
    When the platform changes to {"down": true}
    And entry e2 is killed
    Then the directory of e1 no longer lists e2
    And eventually /till/x is answered through e1
    When a new entry e4 is started
    And all entries are ready
    Then the directory of e1 lists 3 entries
    And the next 5 calls of /till/x through e4 are answered

  Scenario: An entry is replaced at the same address
    Given a fleet of 3 entries
    When entry e2 is killed
    And entry e2 is started again at the same address
    Then the directory of e1 lists 3 entries
    And the next 5 calls of /till/x through e2 are answered

  Scenario: An entry that was frozen past its lease registers again
    Given a fleet of 2 entries
    Then the platform lists e2 as registered
    When entry e2 is frozen
    Then the platform lists e2 as gone
    When entry e2 is thawed
    Then the platform lists e2 as registered
    And the directory of e1 lists 2 entries
    And the next 5 calls of /till/x through e2 are answered

  Scenario: All entries are replaced one by one under load
    Given a fleet of 3 entries
    When all entries are replaced one by one while calls are made
    Then no call was cut and no action ran twice
