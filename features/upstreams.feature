Feature: Fresh, cold and crashing upstreams
  A stand-in engine that has done few requests crashes above its first load.

  Background:
    Given a ninepatch fleet of 3 VMs

  Scenario: A freshly started upstream gets no more work than it bears
    When pattern-decode-1 is killed
    And upstream pattern-decode-1 starts fresh and bears 2 at first
    And 30 callers of "sunday-bee" ask for 30 tokens
    Then the crowd gets whole answers
    And pattern-decode-1 still runs

  @long
  Scenario: A warm upstream turns cold without warning
    When 9 callers of "sunday-bee" ask for 20 tokens
    And all calls have ended
    And pattern-decode-2 turns cold without warning
    And 20 callers of "harbour-quilts" ask for 20 tokens
    Then the crowd gets whole answers

  Scenario: A request crashes each upstream that runs it
    When "studio-desk" asks for the crashing prompt 6 times
    Then at most 2 engines crashed
    When 9 callers of "sunday-bee" ask for 20 tokens
    Then the crowd gets whole answers

  Scenario: An innocent neighbour of a crashing request is not refused
    When "sunday-bee" asks for 100 tokens as Mei
    And 0.3 s pass
    And "studio-desk" asks for the crashing prompt 3 times
    Then Mei gets the whole answer
    And at most 3 engines crashed
