Feature: Bad input gets a clear refusal and never reaches an upstream

  Scenario Outline: Malformed requests
    Given a fleet of 1 entries
    When the bytes <bytes> are sent to e1
    Then the connection is closed after status <status>
    And no upstream has been called

    Examples:
      | bytes                                                                                          | status |
      | GARBAGE\r\n\r\n                                                                                | 400    |
      | POST /till/x HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\ncontent-length: 5\r\n\r\nhello        | 400    |
      | POST /till/x HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nhello        | 400    |
      | POST /till/x HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n | 400 |
      | POST /till/x HTTP/1.1\r\nhost: x\r\ntransfer-encoding: gzip\r\n\r\n                            | 501    |
      | GET /till/x HTTP/1.1\r\n\r\n                                                                   | 400    |
      | POST /till/x HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999\r\n\r\n                           | 413    |
      | POST /till/x HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n                   | 400    |

  Scenario: A head that is too large
    Given a fleet of 1 entries
    When a head of 40000 bytes is sent to e1
    Then the connection is closed after status 431
    And no upstream has been called

  Scenario: Garbage behind a good request
    Given a fleet of 1 entries
    When the bytes GET /nothing HTTP/1.1\r\nhost: x\r\n\r\nGARBAGE\r\n\r\n are sent to e1
    Then the connection is closed after status 404
    And no upstream has been called

  Scenario: A head that comes too slowly
    Given a fleet of 1 entries with short limits
    When the bytes GET /till/x HTTP/1.1\r\nhost: are sent to e1
    Then the connection is closed after status 408
    And no upstream has been called

  Scenario: A body that stops coming
    Given a fleet of 1 entries with short limits
    When the bytes POST /till/x HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nabc are sent to e1
    Then the connection is closed after status 408
    And no upstream has been called

  Scenario: More connections than one address may have
    Given a fleet of 1 entries with short limits
    Then the connection after the first 4 is refused by e1
