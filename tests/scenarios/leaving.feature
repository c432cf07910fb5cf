Feature: A leaving upstream gets no new work and a planned stop interrupts nothing

  Scenario: An upstream is leaving in the VM list only
    Given a Cedarline fleet
    And 8 event streams on badge-desk
    And 10 posters on badge-desk every 0.1s
    When 3s pass
    And the VM list says badge-desk/hall-north/1 is leaving
    And 8s pass
    Then upstream badge-desk/hall-north/1 got no new work in the last 3s
    When the callers finish
    Then no flow broke
    And no request ran twice

  Scenario: An upstream is leaving in the settings while an entry and two of its peers have old settings
    Given a Cedarline fleet
    And 8 event streams on badge-desk
    And 10 posters on badge-desk every 0.1s
    When 3s pass
    And control of entry-1, badge-desk/hall-south/3, badge-desk/hall-south/4 is cut off
    And operators set state of upstream badge-desk/hall-north/1 to leaving
    And 8s pass
    Then upstream badge-desk/hall-north/1 got no new work in the last 3s
    When the callers finish
    Then no flow broke
    And no request ran twice

  @ours_only
  Scenario: An agent is stopped gracefully during slow answers
    Given a Cedarline fleet
    And upstreams take 0.8s a request
    And 14 posters on badge-desk every 0.3s
    When 3s pass
    And process badge-desk/hall-north/1 is stopped gracefully
    And process badge-desk/hall-south/3 is stopped gracefully
    And 6s pass
    And the callers finish
    Then no outcome stayed unknown
    And no request ran twice
    And every refusal and answer was true

  @ours_only
  Scenario: An entry is stopped gracefully
    Given a Cedarline fleet
    And upstreams take 0.5s a request
    And 8 event streams on badge-desk
    And 8 posters on badge-desk every 0.2s
    When 3s pass
    And process entry-1 is stopped gracefully
    And 4s pass
    And the callers finish
    Then no flow broke
    And no outcome stayed unknown
    And no request ran twice

  Scenario: Whole VMs are replaced one after another, agents included, under 200 event streams
    Given a Cedarline fleet
    And 200 event streams on badge-desk
    And 10 posters on badge-desk every 0.5s
    When 4s pass
    And operators add upstream badge-desk/hall-north/8
    And 6s pass
    And the VM list says badge-desk/hall-north/1 is leaving
    And 2s pass
    And process badge-desk/hall-north/1 is stopped gracefully
    And 5s pass
    And operators remove upstream badge-desk/hall-north/1
    And process badge-desk/hall-south/3 is stopped gracefully
    And 5s pass
    And process badge-desk/hall-south/3 starts
    And process badge-desk/hall-north/8 is stopped gracefully
    And 5s pass
    And the callers finish
    Then no flow broke
    And at least 30 flows were moved
    And no request ran twice
    And every refusal and answer was true

  Scenario: A whole VM is replaced while an entry is frozen and packets are late
    Given a Cedarline fleet
    And 20 event streams on badge-desk
    When 3s pass
    And packets are late by up to 100ms
    And process entry-2 freezes
    And 2s pass
    And process badge-desk/hall-north/1 is stopped gracefully
    And 4s pass
    And process entry-2 wakes
    And 2s pass
    And the callers finish
    Then no flow broke
    And no event was skipped or repeated

  @ours_only
  Scenario: An agent is stopped gracefully while its peers run requests that it handed off
    Given a Cedarline fleet
    And upstreams take 3s a request
    And 14 pullers on badge-desk every 0.3s
    When 3s pass
    And process badge-desk/hall-north/1 is stopped gracefully
    And 8s pass
    And the callers finish
    Then no flow broke
    And no outcome stayed unknown
    And every refusal and answer was true
