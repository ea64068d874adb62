Feature: Failure domains and leaving upstreams

  Background:
    Given a ninepatch fleet of 3 VMs

  Scenario: A failure domain is taken out and returned under load
    When 12 callers of "sunday-bee" ask for 40 tokens
    And operators take failure domain tw-central-b out
    And 3.1 s pass
    And 12 callers of "harbour-quilts" ask for 20 tokens
    And "harbour-quilts" reads 9 times within 1 s through all VMs
    And all calls have ended
    Then failure domain tw-central-b got no new work after 3 s
    And the crowd gets whole answers
    When operators return failure domain tw-central-b
    Then failure domain tw-central-b gets work again within 10 s

  Scenario: A failure domain is taken out while a VM can't reach the platform
    When the link between vm-1 and platform is cut
    And operators take failure domain tw-central-a out
    And 3.1 s pass
    And "sunday-bee" asks for 10 tokens through vm-1 as Mei
    And "sunday-bee" asks for 10 tokens through vm-1 as Mei
    And "sunday-bee" asks for 10 tokens through vm-1 as Mei
    And all calls have ended
    Then failure domain tw-central-a got no new work after 3 s

  @long
  Scenario: A failure domain is taken out while a VM pauses
    When vm-1 is frozen
    And operators take failure domain tw-central-a out
    And 4 s pass
    And vm-1 wakes
    And "sunday-bee" asks for 10 tokens through vm-1 as Mei
    And "sunday-bee" asks for 10 tokens through vm-1 as Mei
    And all calls have ended
    Then failure domain tw-central-a got no new work after 3 s

  Scenario: A leaving upstream gets no new work and ends its answers
    When 12 callers of "sunday-bee" ask for 100 tokens
    And 0.5 s pass
    And operators take upstream pattern-decode-2 away
    And 3.1 s pass
    And 9 callers of "harbour-quilts" ask for 10 tokens
    And all calls have ended
    Then upstream pattern-decode-2 got no new work after 3 s
    And the crowd gets whole answers
