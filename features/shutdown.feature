Feature: A graceful shutdown cuts no request

  Background:
    Given a ninepatch fleet of 3 VMs that the balancer sees directly

  Scenario: A VM stops with answers and orders under way
    When every bee-app upstream takes 1 s for an answer
    And "sunday-bee" asks for 150 tokens through vm-2 as Mei
    And "sunday-bee" asks for 150 tokens through vm-2 as Mei
    And "sunday-bee" claims stop-1 through vm-2 as Lin
    And 0.4 s pass
    And vm-2 is asked to stop
    And every bee-app upstream takes 0 s for an answer
    Then Mei gets the whole answer
    And Lin gets the whole answer
    And vm-2 ended by itself within 15 s

  Scenario: Every VM is rolled, one after the other, under load
    When "sunday-bee" keeps asking for 20 tokens through the balancer
    And each VM is rolled in turn
    Then no answer of the load was cut
