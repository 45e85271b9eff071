Feature: Operators see what an entry does

  Scenario: A sampled call has a span for each hop
    Given a fleet of 2 entries that trace every call
    When 4 calls of /till/x in one trace are made through every entry
    Then the entries have exported spans named call, relayed, queue and attempt
    And all spans belong to that trace

  Scenario: Metrics have latencies by service and counters
    Given a fleet of 1 entries
    Then the next 5 calls of /till/x through e1 are answered
    And the metrics of e1 contain sesamevale_calls_total{outcome="answered",reason="2xx",service="till"} 5.0
    And the metrics of e1 contain sesamevale_added_seconds_count{service="till"} 5.0
    And the metrics of e1 contain sesamevale_call_seconds{quantile="0.99",service="till"}
    And the metrics of e1 contain sesamevale_platform_calls_total
