Feature: Holds on prompts that end backend servers
  Entry VMs report the ends of backend servers to the leading control VM. It
  holds back the prompts that explain them, in the replicated log. Control VMs,
  agents and reports are the real ones; the servers are not.

  Scenario Outline: A hold is in force on all entry VMs within 5 seconds
    Given a fleet of 5 control VMs and 3 entry VMs
    And the fleet holds version 4
    When 3 servers end under prompts with a segment, each seen by another VM
    And on the fleet <event>
    Then within 5 seconds all entry VMs hold back the segment

    Examples:
      | event                                     |
      | nothing happens                           |
      | the leader is killed                      |
      | the leader loses its disk                 |
      | an entry VM that has seen an end restarts |
      | all VMs restart 2 seconds later           |

  Scenario: A VM that was cut off holds back what the others learned meanwhile
    Given a fleet of 5 control VMs and 3 entry VMs
    And the fleet holds version 4
    When VM e1 is cut off from the control VMs
    And 3 servers end under prompts with a segment, each seen by VM e2
    And 10 seconds later the cut heals
    Then within 5 seconds all entry VMs hold back the segment

  Scenario: What a VM saw while it was cut off is counted
    Given a fleet of 5 control VMs and 3 entry VMs
    And the fleet holds version 4
    When VM e1 is cut off from the control VMs
    And 3 servers end under prompts with a segment, each seen by VM e1
    And 10 seconds later the cut heals
    Then within 5 seconds all entry VMs hold back the segment

  Scenario Outline: A segment of a sound response is not held back
    Given a fleet of 5 control VMs and 3 entry VMs
    And the fleet holds version 4
    When VM <vm> got a sound response to a prompt with the segment <when>
    Then in the next 5 seconds no entry VM holds back the segment

    Examples:
      | vm | when                  |
      | e1 | after 3 servers ended |
      | e3 | after 3 servers ended |
      | e3 | before the last end   |

  Scenario: A sound segment is not held back among many that were interrupted
    Given a fleet of 5 control VMs and 3 entry VMs
    And the fleet holds version 4
    When 3 servers end, each under 60 prompts with one sound segment
    Then in the next 5 seconds no entry VM holds back the segment

  Scenario: An operator sees what is held back, since when and why, and lifts it
    Given a fleet of 5 control VMs and 3 entry VMs
    And the fleet holds version 4
    When 3 servers end under prompts with a segment, each seen by another VM
    Then within 5 seconds all entry VMs hold back the segment
    And any control VM tells the operator since when, and which servers ended
    When the operator lifts the hold at any control VM
    Then within 2 seconds no entry VM holds back the segment
    And it is not held back again in the next 10 seconds
    And it stays lifted when another control VM leads

  Scenario: Holds are bounded, and restored from snapshots of both releases
    When a store gets 300 holds
    Then it has the newest 256 of them, also after a snapshot
    And a store without holds writes what the earlier release reads
    And a snapshot of the earlier release is restored without holds

  Scenario Outline: A malformed message is an error of its sender
    Given a fleet of 5 control VMs and 3 entry VMs
    When the leader gets <message> as the report of an end
    Then the report is a protocol error of its sender

    Examples:
      | message                                |
      | null                                   |
      | []                                     |
      | ["engine", "i-1", 0, []]               |
      | ["engine", "i-1", 0, [["r", 5, 1, 1]]] |
      | ["engine", "i-1", "x", [["r", ["s"], 1, 1]]] |

  Scenario Outline: A hold that nobody asks for any more is lifted after an hour
    Given a hold of the leading control VM
    When for the hold <events>
    Then the hold is <state>

    Examples:
      | events                                                    | state     |
      | 3500 seconds pass                                         | in force  |
      | 3700 seconds pass                                         | lifted    |
      | 3500 seconds pass, it is asked for, 3500 seconds pass     | in force  |
      | 3500 seconds pass, it is asked for, 3700 seconds pass     | lifted    |
      | 3500 seconds pass, another leads meanwhile, 3500 seconds pass | in force |

  Scenario: An entry VM tells the leader which holds have rejected requests
    Given a fleet of 5 control VMs and 3 entry VMs
    And the fleet holds version 4
    When 3 servers end under prompts with a segment, each seen by another VM
    And VM e2 rejects a request for the hold and 60 seconds pass
    Then the leader knows that the hold was asked for within 60 seconds
