Feature: An order runs at most once and what callers are told is true

  Background:
    Given a ninepatch fleet of 3 VMs

  Scenario: An order sent again through other VMs runs once
    When "sunday-bee" claims slot-1 through vm-1 as Mei
    And "sunday-bee" claims slot-1 through vm-2 as Mei
    And "sunday-bee" claims slot-1 through vm-3 as Mei
    And all calls have ended
    And "sunday-bee" claims slot-1 through vm-2 as Mei
    Then Mei gets the whole answer
    And claim slot-1 ran exactly once

  Scenario: The answer of an order is lost on its way
    When every bee-app upstream drops its next answer
    And "sunday-bee" claims slot-2 through vm-1 as Mei
    And all calls have ended
    And "sunday-bee" claims slot-2 through vm-2 as Mei
    And all calls have ended
    And "sunday-bee" claims slot-2 through vm-3 as Mei
    Then Mei is told unknown
    And claim slot-2 ran exactly once

  @spoils_upstreams
  Scenario: The upstream dies once it ran the order
    When bee-app-1 will die after the next order, before its answer
    And bee-app-2 will die after the next order, before its answer
    And bee-app-3 will die after the next order, before its answer
    And "sunday-bee" claims slot-3 through vm-1 as Mei
    And all calls have ended
    And "sunday-bee" claims slot-3 through vm-2 as Mei
    And all calls have ended
    And "sunday-bee" claims slot-3 through vm-3 as Mei
    And all calls have ended
    And "sunday-bee" claims slot-3 through vm-1 as Mei
    And all calls have ended
    And "sunday-bee" claims slot-3 through vm-2 as Mei
    And all calls have ended
    Then Mei is told unknown
    And claim slot-3 ran exactly once

  Scenario Outline: A VM dies while it carries an order
    When every bee-app upstream takes 1 s for an answer
    And "sunday-bee" claims <slot> through vm-1 as Mei
    And 0.4 s pass
    And <vm> is killed
    And 0.3 s pass
    And "sunday-bee" claims <slot> through vm-1 as Lin
    And "sunday-bee" claims <slot> through vm-2 as Lin
    And "sunday-bee" claims <slot> through vm-3 as Lin
    And all calls have ended
    And 6 s pass
    And "sunday-bee" claims <slot> through vm-1 as Lin
    And "sunday-bee" claims <slot> through vm-2 as Lin
    And "sunday-bee" claims <slot> through vm-3 as Lin
    And every bee-app upstream takes 0 s for an answer
    Then claim <slot> ran at most once

    Examples:
      | slot   | vm   |
      | slot-4 | vm-1 |
      | slot-5 | vm-2 |
      | slot-6 | vm-3 |

  Scenario Outline: A VM pauses with an order and wakes late
    When every bee-app upstream takes 0.5 s for an answer
    And "sunday-bee" claims <slot> through vm-1 as Mei
    And <vm> is frozen
    And 6 s pass
    And "sunday-bee" claims <slot> through vm-2 as Lin
    And "sunday-bee" claims <slot> through vm-3 as Lin
    And 3 s pass
    And <vm> wakes
    And "sunday-bee" claims <slot> through vm-1 as Lin
    And all calls have ended
    And every bee-app upstream takes 0 s for an answer
    Then claim <slot> ran at most once

    Examples:
      | slot   | vm   |
      | slot-7 | vm-1 |

    @long
    Examples: the other VMs
      | slot   | vm   |
      | slot-8 | vm-2 |
      | slot-9 | vm-3 |

  Scenario Outline: A VM is cut off from the others
    When <vm> is cut off from all other VMs
    And 0.5 s pass
    And "sunday-bee" claims <slot> through vm-1 as Mei
    And "sunday-bee" claims <slot> through vm-2 as Lin
    And "sunday-bee" claims <slot> through vm-3 as Lin
    And all calls have ended
    And 6 s pass
    And "sunday-bee" claims <slot> through vm-1 as Mei
    And "sunday-bee" claims <slot> through vm-2 as Lin
    And all calls have ended
    And the network heals
    And 2 s pass
    And "sunday-bee" claims <slot> through vm-3 as Lin
    Then claim <slot> ran at most once

    Examples:
      | slot    | vm   |
      | slot-10 | vm-1 |

    @long
    Examples: the other VMs
      | slot    | vm   |
      | slot-11 | vm-2 |
      | slot-12 | vm-3 |

  Scenario: Bytes vanish one way between two VMs
    When bytes from vm-1 to vm-2 vanish
    And bytes from vm-3 to vm-1 vanish
    And "sunday-bee" claims slot-13 through vm-1 as Mei
    And "sunday-bee" claims slot-13 through vm-2 as Mei
    And "sunday-bee" claims slot-13 through vm-3 as Mei
    Then claim slot-13 ran at most once

  Scenario: A key used again with another body is refused
    When "sunday-bee" claims slot-14 as Mei
    And all calls have ended
    And "sunday-bee" claims slot-14 with another body as Lin
    Then Lin is refused with idempotency-key-reused
    And claim slot-14 ran exactly once

  Scenario: Not run is true while no upstream can be reached
    When the link between nodes and bee-app-1 is cut
    And the link between nodes and bee-app-2 is cut
    And the link between nodes and bee-app-3 is cut
    And "sunday-bee" claims slot-15 as Mei
    And all calls have ended
    Then claim slot-15 never ran

  Scenario: Two workspaces may use the same key
    When "sunday-bee" claims slot-16 as Mei
    And "moon-gate" claims slot-16 as Lin
    Then Mei gets the whole answer
    And Lin gets the whole answer
