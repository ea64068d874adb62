Feature: A request runs only for the workspace whose key came with it
  After each scenario every byte that an upstream received is searched for
  the callers' keys and their digests.

  Background:
    Given a ninepatch fleet of 3 VMs

  Scenario: No upstream sees a key
    When 6 callers of "sunday-bee" ask for 10 tokens
    And "moon-gate" claims keys-1 as Lin
    And "lantern-row" reads "/bee/status" as Mei
    Then the crowd gets whole answers
    And Lin gets the whole answer
    And Mei gets the whole answer

  Scenario: A keyed route refuses a caller without a key
    When someone without a key reads "/bee/status" as Mei
    Then Mei is refused with key-missing

  Scenario: An open route serves a caller without a key
    When someone without a key reads "/bee/about" as Mei
    Then Mei gets the whole answer

  Scenario: A key is withdrawn from a connected caller and granted again
    When "studio-desk" stays connected to vm-2
    And operators withdraw the key of "studio-desk"
    Then the open connection is refused within 5 s
    When operators grant the key of "studio-desk" again
    Then the open connection is served within 5 s

  Scenario: A key is withdrawn while a VM can't reach the platform
    When the link between vm-2 and platform is cut
    And "studio-desk" stays connected to vm-2
    And operators withdraw the key of "studio-desk"
    Then the open connection is refused within 5 s

  Scenario: A key is withdrawn while bytes of the platform are held up
    When "studio-desk" stays connected to vm-2
    And the link between vm-2 and platform stalls
    And operators withdraw the key of "studio-desk"
    Then the open connection is refused within 5 s
