Feature: A refusal is accurate and a non-idempotent request runs at most once

  Scenario: Upstreams shed requests, queues time out and callers retry after the stated time
    Given a Cedarline fleet
    And upstreams take 0.4s a request
    And 40 posters on badge-desk every 0.1s
    When 3s pass
    And upstream badge-desk/hall-north/1 sheds
    And upstream badge-desk/hall-north/2 sheds
    And 4s pass
    And upstream badge-desk/hall-north/1 recovers
    And upstream badge-desk/hall-north/2 recovers
    And 4s pass
    And the callers finish
    Then every refusal and answer was true
    And no request ran twice
    And no upstream fell over or ran more than its slots
    And every final answer came within 5.5s

  Scenario: Agents are killed while they run requests, and restart
    Given a Cedarline fleet
    And upstreams take 0.3s a request
    And 20 posters on badge-desk every 0.1s
    When 2s pass
    And process badge-desk/hall-north/1 is killed
    And 1s passes
    And process badge-desk/hall-north/1 starts
    And process badge-desk/hall-south/3 is killed
    And 1s passes
    And process badge-desk/hall-south/3 starts
    And 6s pass
    And the callers finish
    Then no request ran twice
    And every refusal and answer was true

  @ours_only
  Scenario: The reply to a handoff is lost
    Given a Cedarline fleet
    And upstreams take 0.1s a request
    And 20 posters on badge-desk every 0.1s
    When 2s pass
    And operators set state of upstream badge-desk/hall-north/1 to leaving
    And operators set state of upstream badge-desk/hall-north/2 to leaving
    And the next answer of agent badge-desk/hall-south/3 to a peer is lost
    And the next answer of agent badge-desk/hall-south/4 to a peer is lost
    And the next answer of agent badge-desk/print-annex/5 to a peer is lost
    And 4s pass
    And the callers finish
    Then no request ran twice
    And every refusal and answer was true

  Scenario: Data centres are partitioned during handoffs
    Given a Sanad fleet
    And upstreams take 0.2s a request
    And 20 posters on atelier every 0.1s
    When 2s pass
    And tunis-a are cut off
    And 7s pass
    And the cuts heal
    And 1s passes
    And tunis-a, tunis-b are cut off
    And 7s pass
    And the cuts heal
    And 4s pass
    And the callers finish
    Then no request ran twice
    And every refusal and answer was true
    And no upstream fell over or ran more than its slots
    And at least 100 requests were answered

  Scenario: Deadlines pass while upstreams are slow
    Given a Sanad fleet
    And upstreams take 7s a request
    And 10 posters on atelier every 0.1s
    When 9s pass
    And upstreams take 0.05s a request
    And 6s pass
    And the callers finish
    Then no request ran twice
    And every refusal and answer was true
    And every final answer came within 5.5s
    And at least 20 requests were answered
