Feature: Backlogs of a large region

  Each scenario runs in simulated time. It fails if a VM knows the backlog of
  another one later than 0.3 seconds, not at all, or twice.

  Scenario Outline: The cost and the age of backlogs
    Given a region of <count> VMs with requests
    Then all know the backlogs of the others, at most 0.3 seconds old, for 3 seconds
    And no VM exchanges messages with more than <peers> others
    And no VM sends more than <messages> messages a second

    # Three and 40 times the square root of the number of VMs.
    Examples:
      | count | peers | messages |
      | 12    | 11    | 139      |
      | 67    | 25    | 328      |
      | 120   | 33    | 439      |
      | 200   | 43    | 566      |

  Scenario Outline: A relay fails
    Given a region of <count> VMs with requests
    When the busiest relay <fails>
    Then all know the backlogs of the others, at most 0.3 seconds old, for 5 seconds

    Examples:
      | count | fails                 |
      | 67    | is killed             |
      | 67    | is frozen for 1.0 s   |
      | 67    | is not heard          |
      | 67    | hears nothing         |
      | 120   | is killed             |
      | 120   | is frozen for 1.0 s   |
      | 120   | is not heard          |
      | 120   | hears nothing         |
      | 200   | is killed             |
      | 200   | is frozen for 0.25 s  |
      | 200   | is frozen for 4.0 s   |
      | 200   | is not heard          |
      | 200   | hears nothing         |
      | 200   | is not heard by relays |

  Scenario Outline: A rolling restart
    Given a region of <count> VMs with requests
    When its VMs are restarted <batch> at a time
    Then all know the backlogs of the others, at most 0.3 seconds old, meanwhile

    Examples:
      | count | batch |
      | 67    | 6     |
      | 120   | 12    |
      | 200   | 25    |

  Scenario: A VM whose reports stop is removed
    Given a region of 67 VMs with requests
    When the busiest relay is killed
    And 2.9 seconds pass in the region
    Then no VM knows a backlog of it

  Scenario: An idle region sends few frames
    Given an idle region of 12 and one of 120 VMs
    Then the mean VM of the larger one sends and receives at most twice as many frames

  Scenario: A relay of an idle region sends few frames
    Given an idle region of 12 and one of 120 VMs
    Then the busiest VM of the larger one sends and receives at most twice as many frames

  # Fails if backlogs are not passed on by VMs that have none themselves.
  Scenario Outline: The first backlog of an idle region
    Given an idle region of <count> VMs
    When one VM has requests
    And 0.3 seconds pass in the region
    Then all others know its backlog
    When all VMs have requests
    And 0.3 seconds pass in the region
    Then all know the backlogs of the others, at most 0.3 seconds old, for 3 seconds
    When no VM has requests
    And 13 seconds pass in the region
    Then no VM sends a message for 20 seconds

    Examples:
      | count |
      | 12    |
      | 67    |
      | 120   |

  # Fails if an idle VM runs the exchange, or opens connections to VMs of its
  # region, at its start or later.
  Scenario Outline: No exchange without a backlog
    Given an entry VM in a region of 5 without requests
    When its region grows to <count> VMs
    And 10 seconds pass without a request
    Then it has sent nothing, and run the exchange at most 3 times
    And it exchanges what it learns with 2 others at regular intervals
    When a request begins
    Then it reports its backlog within 0.05 seconds

    Examples:
      | count |
      | 8     |
      | 120   |

  # Fails if VMs of two releases do not understand each other.
  Scenario Outline: Messages of other releases
    Given an entry VM in a region of <count>
    When a VM of an earlier release reports
    Then its backlog counts once, and it is sent the former message
    When a VM of a later release reports further numbers
    Then they are summed by name
    And each message keeps its values on the wire
    And a VM of the previous release gets totals without its own part
    And a malformed message of each method is rejected
    And it withdraws its reports when it leaves

    Examples:
      | count |
      | 8     |
      | 20    |
