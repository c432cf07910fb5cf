Feature: An upstream, also one that is warming up, gets no more requests than it can run

  Scenario: An upstream restarts without notice under full load and again during its ramp
    Given a Cedarline fleet
    And upstreams take 0.2s a request
    And 30 posters on badge-desk every 0.2s
    When 4s pass
    And upstream badge-desk/hall-north/1 restarts cold
    And 2s pass
    And upstream badge-desk/hall-north/1 restarts cold
    And 8s pass
    And the callers finish
    Then no upstream fell over or ran more than its slots
    And no request ran twice
    And every refusal and answer was true
    And every final answer came within 5.5s
    And at least 200 requests were answered

  Scenario: All entries receive a new upstream, still warming up, at once after a control partition
    Given a Cedarline fleet
    And upstreams take 0.1s a request
    And 40 posters on badge-desk every 0.1s
    When 3s pass
    And operators add upstream badge-desk/old-office/8
    And upstream badge-desk/old-office/8 restarts cold
    And control of entry-1, entry-2, entry-3 is cut off
    And 8s pass
    And the cuts heal
    And 2s pass
    And the callers finish
    Then no upstream fell over or ran more than its slots
    And no request ran twice
    And every refusal and answer was true

  Scenario: Upstreams of one slot under twice their load
    Given a Sanad fleet
    And upstreams take 0.3s a request
    And 40 posters on atelier every 0.05s
    When 8s pass
    And the callers finish
    Then no upstream fell over or ran more than its slots
    And no request ran twice
    And every refusal and answer was true
    And every final answer came within 5.5s
    And at least 100 requests were answered
