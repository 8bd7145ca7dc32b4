Feature: Entry VMs that lose their servers
  Some entry VMs are partitioned from all servers, while clients and the other
  VMs reach them. The real dispatchers with emulated servers, in fake time:
  three regions, seven entry VMs, eight servers.

  Scenario Outline: Callers of VMs that lost their servers are rejected
    Given the servers of three regions
    When clients send requests for 16 seconds, and after 2 of them connections from <vms> to servers <fault>
    Then first tries at these VMs are served two thirds as often as at the others, from 5 seconds after that
    And at most 10 and 1 in 50 of all first tries fail there
    And no unsafe request has run twice

    Examples:
      | vms            | fault            |
      | a0             | hang             |
      | a0             | are reset        |
      | a0             | are refused      |
      | a0 a1 a2       | are reset        |
      | a0 a1 a2       | are refused      |

    Examples:
      | vms            | fault            |
      | a1 a2 b1 c0    | hang             |
      | a1 a2 b1 c0    | are reset        |
      | a1 a2 b1 c0    | are refused      |
      | a0 a1 a2       | hang             |

  Scenario Outline: Requests that wait for a lost server are given up with it
    Given the servers of three regions
    When 3 <kind> requests run at a0 and its connections to servers hang
    Then each of them is <outcome> within <seconds> seconds

    Examples:
      | kind   | outcome  | seconds |
      | safe   | answered | 4       |
      | unsafe | run once | 15      |

  Scenario Outline: What a VM that lost its servers takes for their ends blames nothing
    Given the servers of three regions
    When one lookup comes 20 times a second for 20 seconds while connections from <vms> to servers break every 4 seconds
    Then nothing is held back
    And no end of a server was reported

    Examples:
      | vms         |
      | a0          |
      | a1 a2 b1 c0 |

  Scenario: A VM sends to its servers again soon after a partition
    Given the servers of three regions
    When clients send requests for 12 seconds, and after 2 of them connections from a0 to servers hang
    And the partition ends
    And clients send requests for 3 seconds
    And clients send requests for 3 seconds
    Then the requests at a0 of the last 3 seconds were sent to its own servers
