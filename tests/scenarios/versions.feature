Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: The platform reverts to a lower version
    Given a Cedarline fleet
    When operators set weight of upstream badge-desk/hall-south/3 to 200
    And 3s pass
    And operators set weight of upstream badge-desk/hall-south/3 to 300
    And 3s pass
    And the platform goes back to version 1
    And 5s pass
    Then the last change is in force everywhere
    And no process ever went back a version

  Scenario: Some data centres read only an old version from the platform
    Given a Cedarline fleet
    When 2s pass
    And the platform is stuck at the present version for hall-north, hall-south, print-annex
    And operators set weight of upstream badge-desk/hall-south/3 to 200
    Then the last change is in force everywhere within 7s
    When 25s pass
    Then the last change is in force everywhere
    And no process ever went back a version

  @ours_only
  Scenario: Most of the fleet can't read the platform
    Given a Cedarline fleet
    When 2s pass
    And the platform is down for hall-north, hall-south, print-annex
    And operators set weight of upstream badge-desk/hall-south/3 to 200
    Then the last change is in force everywhere within 7s

  Scenario: Twenty changes in ten seconds while one data centre reads only an old version
    Given a Sanad fleet
    When 2s pass
    And the platform is stuck at the present version for tunis-a
    And operators make 20 changes in 10s
    Then the last change is in force everywhere within 7s
    When 25s pass
    Then the last change is in force everywhere
    And no process ever went back a version

  @ours_only
  Scenario: An invalid configuration between two valid ones
    Given a Cedarline fleet
    And 8 event streams on badge-desk
    When 2s pass
    And operators set weight of upstream badge-desk/hall-south/3 to 200
    And 2s pass
    And operators publish nonsense
    And 2s pass
    Then the last change is in force everywhere
    When operators set weight of upstream badge-desk/hall-south/3 to 300
    Then the last change is in force everywhere within 7s
    When the callers finish
    Then no flow broke

  @ours_only
  Scenario: Two data centres are partitioned from the others and reconnect
    Given a Cedarline fleet
    When 2s pass
    And hall-north, hall-south are cut off
    And operators set weight of upstream badge-desk/hall-south/3 to 200
    And 20s pass
    Then the last change is not in force at badge-desk/hall-north/1
    When the cuts heal
    And 7s pass
    Then the last change is in force everywhere

  @ours_only
  Scenario: A process restarts while the platform is down
    Given a Cedarline fleet
    When operators set weight of upstream badge-desk/hall-south/3 to 200
    And 3s pass
    And the platform is down for all
    And process entry-1 is killed
    And 1s passes
    And process entry-1 starts
    And 5s pass
    Then the last change is in force everywhere

  @ours_only
  Scenario: An entry restarts while the platform has gone back
    Given a Cedarline fleet
    When operators set state of upstream badge-desk/hall-south/3 to out
    And 3s pass
    And the platform goes back to version 1
    And process entry-1 is killed
    And 1s passes
    And process entry-1 starts
    Then the last change is in force everywhere

  @ours_only
  Scenario: An agent restarts while the platform has gone back
    Given a Cedarline fleet
    When operators set state of upstream badge-desk/hall-south/3 to out
    And 3s pass
    And the platform goes back to version 1
    And process badge-desk/hall-south/4 is killed
    And 1s passes
    And process badge-desk/hall-south/4 starts
    Then the last change is in force everywhere
