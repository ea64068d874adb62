Feature: No engine memory stays held by requests that are gone

  Background:
    Given a ninepatch fleet of 3 VMs

  Scenario: Callers leave in the middle of their answers
    When "sunday-bee" leaves after 5 of 400 tokens as Mei
    And "sunday-bee" leaves after 9 of 400 tokens as Mei
    And "moon-gate" leaves after 1 of 400 tokens as Mei
    Then no engine holds memory of a request that is gone

  @pending
  Scenario: A VM dies with answers under way
    When 9 callers of "sunday-bee" ask for 300 tokens
    And 0.8 s pass
    And vm-1 is killed
    And all calls have ended
    Then no engine holds memory of a request that is gone

  @long
  Scenario: A VM that carries answers is cut off and nothing live is freed
    When "sunday-bee" asks for 400 tokens through vm-1 as Mei
    And 0.5 s pass
    And vm-1 is cut off from all other VMs
    Then Mei gets the whole answer
    And no engine holds memory of a request that is gone

  @long
  Scenario: A VM pauses with answers under way and wakes late
    When "sunday-bee" asks for 200 tokens through vm-2 as Mei
    And 0.5 s pass
    And vm-2 is frozen
    And 7 s pass
    And vm-2 wakes
    Then Mei gets the whole answer
    And no engine holds memory of a request that is gone

  Scenario: An engine loses its state and nothing is held twice
    When 9 callers of "sunday-bee" ask for 80 tokens
    And 0.6 s pass
    And pattern-decode-1 loses its state without warning
    Then the crowd gets whole answers
    And no engine holds memory of a request that is gone
