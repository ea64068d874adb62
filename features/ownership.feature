Feature: A shard has one owner at a time
  After each scenario the nodes' logs of leases are searched for two tenures
  of a shard that overlap, or whose terms do not grow.

  Background:
    Given a ninepatch fleet of 3 VMs

  Scenario: An owner is killed and its VM starts again
    When vm-1 is killed
    And 5 s pass
    And VM vm-1 starts again
    And 5 s pass
    Then every shard had one owner at a time
    And within 10 s every shard has an owner

  @pending
  Scenario: A VM that starts again finds the owners of what it lost
    When vm-1 is killed
    And 6 s pass
    And VM vm-1 starts again
    And 6 s pass
    And "sunday-bee" asks for 10 tokens through vm-1 as Mei
    And "sunday-bee" asks for 10 tokens through vm-2 as Lin
    And "sunday-bee" asks for 10 tokens through vm-3 as Lin
    Then Mei gets the whole answer
    And Lin gets the whole answer

  @long
  Scenario: Each VM in turn pauses and wakes late
    When vm-1 is frozen
    And 5 s pass
    And vm-1 wakes
    And vm-2 is frozen
    And 5 s pass
    And vm-2 wakes
    And 3 s pass
    Then every shard had one owner at a time
    And within 10 s every shard has an owner

  Scenario: A VM is cut off from the others and comes back
    When vm-2 is cut off from all other VMs
    And 5 s pass
    And the network heals
    And 4 s pass
    Then every shard had one owner at a time
    And within 10 s every shard has an owner

  @long
  Scenario: Bytes vanish one way
    When bytes from vm-1 to vm-2 vanish
    And bytes from vm-2 to vm-3 vanish
    And 5 s pass
    And the network heals
    And 4 s pass
    Then every shard had one owner at a time
    And within 10 s every shard has an owner

  @long
  Scenario: VMs are replaced while the list lags
    When the list of VMs is no longer kept up
    And vm-2 is replaced
    And 4 s pass
    And the platform is back
    And 6 s pass
    And vm-1 is replaced
    And 6 s pass
    Then every shard had one owner at a time
    And within 10 s every shard has an owner

  @long
  Scenario: All VMs are replaced, one after the other
    When vm-1 is replaced
    And 8 s pass
    And vm-2 is replaced
    And 8 s pass
    And vm-3 is replaced
    And 8 s pass
    Then every shard had one owner at a time
    And within 10 s every shard has an owner
