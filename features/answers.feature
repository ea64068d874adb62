Feature: Every caller gets the whole answer to its own request
  The answer of a stand-in engine is known beforehand. After each scenario
  every answer is compared token by token, and request ids answered twice,
  orders run twice, revisions that went back and keys at upstreams are sought.

  Background:
    Given a ninepatch fleet of 3 VMs

  Scenario: Answers without faults
    When 12 callers of "sunday-bee" ask for 20 tokens
    Then the crowd gets whole answers

  Scenario: A decode engine dies in the middle of answers
    When 12 callers of "sunday-bee" ask for 100 tokens
    And 0.8 s pass
    And pattern-decode-1 is killed
    Then the crowd gets whole answers

  Scenario: Two decode engines die one after the other
    When 9 callers of "sunday-bee" ask for 120 tokens
    And 0.6 s pass
    And pattern-decode-1 is killed
    And 0.5 s pass
    And pattern-decode-2 is killed
    Then the crowd gets whole answers

  Scenario: A prefill engine dies under prompts
    When 12 callers of "sunday-bee" ask for 20 tokens
    And pattern-prefill-1 is killed
    Then the crowd gets whole answers

  Scenario: The connections to a decode engine are reset
    When 9 callers of "sunday-bee" ask for 100 tokens
    And 0.8 s pass
    And the link between nodes and pattern-decode-2 is reset
    Then the crowd gets whole answers

  Scenario: A decode engine closes its way back
    When 9 callers of "sunday-bee" ask for 100 tokens
    And 0.8 s pass
    And the link between nodes and pattern-decode-3 closes its way back
    Then the crowd gets whole answers

  Scenario: Answers come late and crossed
    When answers between nodes and pattern-prefill-1 come up to 150 ms late
    And answers between nodes and pattern-decode-1 come up to 200 ms late
    And answers between nodes and pattern-decode-2 come up to 50 ms late
    And 18 callers of "sunday-bee" ask for 20 tokens
    Then the crowd gets whole answers

  @long
  Scenario: A decode engine pauses and wakes late
    When 9 callers of "sunday-bee" ask for 100 tokens
    And 0.6 s pass
    And pattern-decode-1 is frozen
    And 4 s pass
    And pattern-decode-1 wakes
    Then the crowd gets whole answers

  @long
  Scenario: Transfers to a decode engine stall
    When transfers to pattern-decode-1 stall for 8 s
    And 9 callers of "sunday-bee" ask for 20 tokens
    Then the crowd gets whole answers

  @long
  Scenario: A slow caller gets all of a long answer
    When the link between callers and vm-1 carries 6000 bytes a second
    And "sunday-bee" asks for 60 tokens through vm-1 as Mei
    Then Mei gets the whole answer

  Scenario: A VM dies and its callers ask again
    When 9 callers of "sunday-bee" ask for 60 tokens
    And 0.5 s pass
    And vm-2 is killed
    And 1.2 s pass
    And "sunday-bee" asks for 20 tokens as Mei
    Then Mei gets the whole answer

  @long
  Scenario: A VM cut off from the others still answers
    When vm-1 is cut off from all other VMs
    And 4 s pass
    And "sunday-bee" asks for 20 tokens through vm-1 as Mei
    Then Mei gets the whole answer
