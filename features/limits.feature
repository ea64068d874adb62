Feature: No workspace gets more than its rate and burst across all VMs
  "moon-gate" has 5 requests a second and a burst of 20.

  Background:
    Given a ninepatch fleet of 3 VMs

  Scenario: A flood over all VMs
    When "moon-gate" reads 120 times within 4 s through all VMs
    Then "moon-gate" never had more than its rate and burst
    And at least 15 requests of "moon-gate" were served

  Scenario: A flood while one VM is cut off from the others
    When vm-1 is cut off from all other VMs
    And "moon-gate" reads 120 times within 6 s through all VMs
    And the network heals
    And "moon-gate" reads 60 times within 3 s through all VMs
    Then "moon-gate" never had more than its rate and burst

  @long
  Scenario: A flood while each VM in turn pauses and wakes late
    When "moon-gate" reads 40 times within 2 s through all VMs
    And vm-1 is frozen
    And 4 s pass
    And vm-1 wakes
    And "moon-gate" reads 40 times within 2 s through all VMs
    And vm-2 is frozen
    And 4 s pass
    And vm-2 wakes
    And "moon-gate" reads 40 times within 2 s through all VMs
    Then "moon-gate" never had more than its rate and burst

  Scenario: A flood while a VM is killed and starts again
    When "moon-gate" reads 40 times within 2 s through all VMs
    And vm-1 is killed
    And VM vm-1 starts again
    And "moon-gate" reads 80 times within 4 s through all VMs
    Then "moon-gate" never had more than its rate and burst

  @long
  Scenario: A flood while a VM is replaced and the list lags
    When the list of VMs is no longer kept up
    And vm-3 is replaced
    And "moon-gate" reads 80 times within 4 s through all VMs
    And the platform is back
    And "moon-gate" reads 80 times within 4 s through all VMs
    Then "moon-gate" never had more than its rate and burst

  Scenario: A workspace inside its rate is not refused
    When "sunday-bee" reads 60 times within 6 s through all VMs
    Then no request of "sunday-bee" was refused

  Scenario: A flood of one workspace takes nothing from another
    When "lantern-row" reads 60 times within 1 s through all VMs
    And "harbour-quilts" reads 40 times within 4 s through all VMs
    Then no request of "harbour-quilts" was refused
