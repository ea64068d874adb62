Feature: The queue is bounded and one workspace can't starve another

  Background:
    Given a ninepatch fleet of 3 VMs

  Scenario: A flood beyond the bound is refused before it runs
    When operators bound the queue to 20 requests
    Then within 5 s every VM has the newest text in force
    When 50 impatient callers of "sunday-bee" ask for 60 tokens
    And 50 impatient callers of "harbour-quilts" ask for 60 tokens
    Then some of the crowd were refused with queue-full
    And every refusal of the crowd says not-run

  Scenario: A small workspace is served during the flood of a large one
    When 60 callers of "sunday-bee" ask for 100 tokens
    And 0.5 s pass
    And "moon-gate" asks for 10 tokens as Lin
    And "moon-gate" asks for 10 tokens as Lin
    Then Lin gets the whole answer
    And Lin had the first token within 3 s
