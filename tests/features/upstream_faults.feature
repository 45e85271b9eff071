Feature: Faults of upstreams stay with the upstreams

  Scenario: A cut answer is never passed on as whole
    Given a fleet of 2 entries
    When the upstreams of roundsheet change to {"mode": "cut"}
    And GET /roundsheet/x is called through e1
    Then the caller gets no complete answer
    When the upstreams of roundsheet change to {"mode": "serve"}
    Then the next 10 calls of /roundsheet/x through e1 are answered

  Scenario: One failing upstream is worked around
    Given a fleet of 2 entries
    When one upstream of roundsheet changes to {"mode": "fail"}
    Then the next 20 calls of /roundsheet/x through e1 are answered
    And the next 20 calls of /roundsheet/x through e2 are answered

  Scenario: One shedding upstream is worked around
    Given a fleet of 2 entries
    When one upstream of roundsheet changes to {"mode": "shed"}
    Then the next 20 calls of /roundsheet/x through e1 are answered

  Scenario: An upstream that says that it drains gets nothing new
    Given a fleet of 3 entries
    When one upstream of roundsheet changes to {"mode": "drain"}
    Then one upstream of roundsheet gets no new calls while the others do

  Scenario: An upstream whose VM is leaving gets nothing new
    Given a fleet of 3 entries
    When the list of VMs shows one upstream of roundsheet as leaving
    Then one upstream of roundsheet gets no new calls while the others do

  Scenario: A deadline is kept for the caller
    Given a fleet of 2 entries
    When the upstreams of roundsheet change to {"slow": 100000}
    And GET /roundsheet/x is called through e1
    Then the answer has outcome unknown and reason deadline
    When GET /roundsheet/x is called through e2
    Then the answer has outcome unknown and reason deadline

  Scenario: Late answers are never given to another caller
    Given a fleet of 2 entries
    When the upstreams of till change to {"slow": 20}
    And callers of till close their connections before the answer
    And the upstreams of till change to {"slow": 1}
    Then 60 concurrent calls through all entries get their own answers
    And no upstream of till has had more calls in flight than slots
