Feature: An established connection survives every planned change

  Scenario: Upstreams drain, join and change weight
    Given a Cedarline fleet
    And 12 event streams on badge-desk
    And 20 posters on badge-desk every 0.4s
    When 2s pass
    And operators set state of upstream badge-desk/hall-north/1 to leaving
    And operators set state of upstream badge-desk/hall-north/2 to leaving
    And 8s pass
    And operators add upstream badge-desk/old-office/8
    And 2s pass
    And operators set weight of upstream badge-desk/hall-south/3 to 500
    And 2s pass
    And operators set state of upstream badge-desk/hall-north/1 to in
    And operators set state of upstream badge-desk/hall-north/2 to in
    And 2s pass
    And the callers finish
    Then no flow broke
    And at least 100 requests were answered
    And every answer was whole and the caller's own
    And no request ran twice
    And no outcome stayed unknown
    And the last change is in force everywhere

  @ours_only
  Scenario: Dozens of changes during one connection
    Given a Cedarline fleet
    And 12 event streams on badge-desk
    When 2s pass
    And operators make 36 changes in 18s
    And the callers finish
    Then no flow broke
    And the last change is in force everywhere

  @ours_only
  Scenario: Only a third of the entries have the new version
    Given a Cedarline fleet
    And 12 event streams on badge-desk
    And 4 posters on badge-desk every 0.3s
    When 2s pass
    And control of entry-1, entry-2 is cut off
    And operators set state of upstream badge-desk/hall-north/1 to leaving
    And operators add upstream badge-desk/old-office/8
    And 6s pass
    And the callers finish
    Then the last change is not in force at entry-1
    And no flow broke
    And no request ran twice

  Scenario: An entry is killed, another joins, a third is suspended for ten seconds
    Given a Cedarline fleet
    And 12 event streams on badge-desk
    And 4 pullers on layout every 0.3s
    When 2s pass
    And process entry-1 is killed
    And the fabric drops entry-1
    And 1s passes
    And process entry-4 starts
    And operators set weight of upstream badge-desk/hall-south/3 to 500
    And 1s passes
    And process entry-2 freezes
    And 10s pass
    And process entry-2 wakes
    And 3s pass
    And the callers finish
    Then no flow broke
    And every answer was whole and the caller's own
    And the last change is in force everywhere
