Feature: A call is served end to end
  Callers ask an entry for the directory, choose an entry and get the whole
  answer to their own call.

  Scenario: Calls through every entry reach every service
    Given a fleet of 3 entries
    Then the next 3 calls of /till/x through e1 are answered
    And the next 3 calls of /roundsheet/x through e2 are answered
    And the next 3 calls of /till/x through e3 are answered
    And the directory of e1 lists 3 entries

  Scenario: Everyone gets the answer to their own call
    Given a fleet of 3 entries
    Then 60 concurrent calls through all entries get their own answers
    And no upstream of till has had more calls in flight than slots

  Scenario: HEAD has no body
    Given a fleet of 1 entries
    When HEAD /till/x is called through e1
    Then the answer has status 200
    And the answer has a content-length and no body

  Scenario Outline: Bodies arrive whole, through the home and through others
    Given a fleet of 3 entries
    When a body of <size> bytes is sent <transfer> through e1
    Then the answer has status 200
    And the upstream has received <size> bytes
    When a body of <size> bytes is sent <transfer> through e2
    Then the upstream has received <size> bytes
    When a body of <size> bytes is sent <transfer> through e3
    Then the upstream has received <size> bytes

    Examples:
      | size    | transfer           |
      | 10      | whole              |
      | 40000   | chunked            |
      | 60000   | after 100-continue |
      | 500000  | chunked            |
      | 3000000 | whole              |

  Scenario: Long answers stream whole through every entry
    Given a fleet of 3 entries
    When an answer of 3000000 bytes is asked for through e1
    Then the answer has a complete body of 3000000 bytes
    When an answer of 3000000 bytes is asked for through e2
    Then the answer has a complete body of 3000000 bytes
    When an answer of 3000000 bytes is asked for through e3
    Then the answer has a complete body of 3000000 bytes

  Scenario: A call that no rule matches is refused
    Given a fleet of 1 entries
    When DELETE /till/x is called through e1
    Then the answer has status 404
    And the answer has outcome not-run and reason no_rule

  Scenario: A second SIGTERM cuts no call
    Given a fleet of 2 entries
    When the upstreams of roundsheet change to {"slow": 200, "sigma": 0.01}
    And entry e1 receives SIGTERM twice during a slow call
    Then the answer has status 200
    And entry e1 has stopped with exit code 0
