Feature: An accepted configuration is in force everywhere and never reverts
  The revision in force on each VM is sampled four times a second.

  Background:
    Given a ninepatch fleet of 3 VMs

  Scenario: A change is in force within seconds
    When operators bound the queue to 350 requests
    Then within 5 s every VM has the newest text in force

  Scenario: Operators race each other
    When operators publish 10 texts at once
    Then within 5 s every VM has the newest text in force

  Scenario: A text with a fault is refused as a whole
    When operators publish a text with a fault
    Then no VM has a text with a fault in force
    When operators bound the queue to 360 requests
    Then within 5 s every VM has the newest text in force

  Scenario: A VM that can't reach the platform learns from the others
    When the link between vm-1 and platform is cut
    And operators bound the queue to 351 requests
    Then within 5 s every VM has the newest text in force

  Scenario: The platform is down for long
    When operators bound the queue to 352 requests
    Then within 5 s every VM has the newest text in force
    When the platform goes down
    And 8 s pass
    And "sunday-bee" asks for 10 tokens as Mei
    And "sunday-bee" claims config-1 as Lin
    Then Mei gets the whole answer
    And Lin gets the whole answer

  Scenario: The platform turns stale
    When operators bound the queue to 353 requests
    Then within 5 s every VM has the newest text in force
    When the platform turns stale
    And 3 s pass
    Then within 5 s every VM has the newest text in force

  Scenario: A new VM meets a stale platform
    When operators bound the queue to 354 requests
    Then within 5 s every VM has the newest text in force
    When the platform turns stale
    And vm-3 is replaced
    Then vm-3 has a text no older than the others

  @pending
  Scenario: A VM starts again while the platform is down
    When operators bound the queue to 355 requests
    Then within 5 s every VM has the newest text in force
    When the platform goes down
    And vm-2 is killed
    And VM vm-2 starts again
    Then vm-2 has a text no older than the others

  @long
  Scenario: A VM pauses while operators publish and wakes late
    When vm-2 is frozen
    And operators publish 3 texts at once
    And 3 s pass
    And vm-2 wakes
    Then within 5 s every VM has the newest text in force
