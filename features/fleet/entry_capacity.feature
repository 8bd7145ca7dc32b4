Feature: Clients are directed to entry VMs in proportion to their capacity
  The directory returns at most 64 addresses, and clients choose one at random.

  Scenario Outline: Addresses are in proportion to capacity
    Given entry VMs with the capacities <capacities>
    When clients look up entry VMs each second for 60 seconds
    Then each VM has its part of the addresses within 2 percent of all
    And each look-up returns at most 64 addresses

    Examples:
      | capacities      |
      | 0.387 1.29 0.8  |
      | 1.0 unknown 3.0 |

  Scenario: No healthy VM of a large region is left out for long
    Given 90 entry VMs with capacities from 0.387 to 1.29
    When clients look up entry VMs each second for 60 seconds
    Then no VM is left out for more than 5 seconds
    And each VM has its part of the addresses within 2 percent of all

  Scenario: An overloaded VM gets fewer clients
    Given entry VMs with the capacities 1.0 1.0 1.0
    When the event loop of the first one lags by 0.2 seconds
    And clients look up entry VMs each second for 60 seconds
    Then the first one has less than half of the addresses of the second one
    And no VM is left out for more than 5 seconds

  Scenario Outline: The list is as before if the VMs do not differ
    Given entry VMs with the capacities <capacities>
    Then a look-up returns each VM once

    Examples:
      | capacities              |
      | 1.0 1.0 1.0             |
      | unknown unknown unknown |

  Scenario Outline: Heartbeats of other builds
    When a control VM receives a heartbeat with <field>
    Then it knows the VM with <capacity>

    Examples:
      | field                  | capacity    |
      | no capacity            | no capacity |
      | 1.29 cores             | 1.29 cores  |
      | an unknown other field | 1.29 cores  |
      | negative cores         | no capacity |
      | text                   | no capacity |
      | infinite cores         | no capacity |

  Scenario: An earlier build reads the heartbeat
    Given a fleet of 3 control VMs and 1 entry VMs
    Then an earlier build decodes the VM of its heartbeat from five values

  Scenario Outline: The capacity in the settings
    When the limits in the settings file are <lines>
    Then the capacity of the VM is <capacity> cores

    Examples:
      | lines                               | capacity |
      | missing                             | 0        |
      | limits.cores=2                      | 2        |
      | limits.cpuShare=0.645,limits.cores=2 | 1.29     |
      | limits.cpuShare=0.387               | 0.387    |
      | limits.cpuShare=1.29,limits.cores=2 | 1.29     |
