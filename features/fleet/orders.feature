Feature: Operators' orders take effect in the order in which they are given
  A control VM that is suspended, a lost response or a lost leader may delay an
  order. Control VMs, entry VMs and their HTTP application are the real ones;
  time and network are simulated.

  Scenario Outline: A withdrawal that was given up does not undo a later order
    Given a fleet of 5 control VMs and 3 entry VMs
    And the fleet holds version 4
    And failure domain a-1 of the fleet is evacuated
    When an operator gives up its readmission since <delay>
    And it is evacuated at another control VM, and the delay ends
    And then in the fleet <event>
    Then all VMs of the fleet have it evacuated for 10 seconds

    Examples:
      | delay                                       | event                    |
      | its VM reads it only when the caller is gone | nothing happens          |
      | its VM is suspended before it proposes it   | nothing happens          |
      | its VM is suspended before it proposes it   | all control VMs restart  |
      | its VM is suspended before it proposes it   | snapshots are restored   |
      | its VM is suspended before it proposes it   | two disks are lost       |
      | the response of the leader is lost          | nothing happens          |
      | its leader is suspended and replaced        | nothing happens          |
      | its leader is suspended and replaced        | all control VMs restart  |

  Scenario Outline: A repeated order is acknowledged and is the newest
    Given a fleet of 5 control VMs and 3 entry VMs
    And the fleet holds version 4
    And failure domain a-1 of the fleet is evacuated
    When an operator's readmission waits since <delay>
    And it is evacuated at another control VM, and the delay ends
    Then the readmission is acknowledged within 6 seconds
    And no VM of the fleet has it evacuated 2 seconds later

    Examples:
      | delay                                     |
      | its VM is suspended before it proposes it |
      | its leader is suspended and replaced      |

  Scenario: An order is acknowledged each time at each control VM
    Given a fleet of 5 control VMs and 3 entry VMs
    And the fleet holds version 4
    Then an evacuation is acknowledged 3 times at each control VM
    And a readmission is acknowledged 3 times at each control VM

  Scenario: An order is acknowledged through an election
    Given a fleet of 5 control VMs and 3 entry VMs
    And the fleet holds version 4
    When the leader of the fleet is killed
    Then an evacuation is acknowledged 1 times at each control VM

  Scenario Outline: A group of two releases keeps the later order
    Given a fleet of 5 control VMs and 3 entry VMs, <vms> of the last release
    And the fleet holds version 4
    And failure domain a-1 of the fleet is evacuated
    When an operator gives up its readmission since its VM is suspended before it proposes it
    And it is evacuated at another control VM, and the delay ends
    Then 2 seconds later all VMs of the fleet have it evacuated for 10 seconds

    Examples:
      | vms          |
      | the leader   |
      | the others   |

  Scenario: Commands, outcomes and snapshots of both releases are read by both
    Then an order without what it is based on takes effect as before
    And a store of the last release applies the orders of this one
    And a store of the last release restores a snapshot with orders
    And a store restored from its snapshot acknowledges no order that may be old

  Scenario: No order takes effect after a later one in any log
    Then it holds for 300 random logs with copies, snapshots and two operators

  Scenario: The number of remembered orders is bounded
    When a store gets 5000 orders on different failure domains
    Then it remembers 4096 of them, also after a snapshot
    And it ignores old orders on those that it has dropped

  Scenario: A lift that was delayed does not lift a hold that was made again
    Then a store ignores the lift of an earlier hold with the same ID
    And a store ignores a copy of the command of a hold that was lifted
    And a store ignores both after a snapshot

  Scenario: An operator who gave up does not lift a hold
    Given a fleet of 3 control VMs and 1 entry VMs
    And the fleet holds version 4
    When a hold is made, and its lift is given up before it is proposed
    Then 5 seconds later the hold is in force everywhere

  Scenario Outline: A VM that wakes waits for the end of a caller's connection
    Given a fleet of 5 control VMs and 3 entry VMs
    And the fleet holds version 4
    And failure domain a-1 of the fleet is evacuated
    When its readmission is read right after a suspension of <seconds> seconds
    And <later> seconds later the end of its connection is read
    Then all VMs of the fleet have it evacuated for 10 seconds

    Examples:
      | seconds | later |
      | 8       | 0.05  |
      | 8       | 0.2   |
      | 1       | 0.2   |

  Scenario Outline: A suspension is noticed in either clock
    When the steady clock of a VM goes on by <steady> and its boot clock by <boot> seconds
    Then it has been awake for <awake> seconds

    Examples:
      | steady | boot | awake |
      | 0.25   | 0.25 | inf   |
      | 0.6    | 0.6  | inf   |
      | 8      | 8    | 0     |
      | 0      | 8    | 0     |

  Scenario Outline: A command is not proposed again for a caller who has gone
    When a caller has gone after <attempts> attempts that end since <failure>
    Then <attempts> attempts are made, and the outcome is <run>

    Examples:
      | attempts | failure                   | run     |
      | 0        | no leader responds        | not_run |
      | 1        | the response is lost      | unknown |
      | 2        | the response is lost      | unknown |
      | 2        | the VM leads no longer    | not_run |

  Scenario Outline: A malformed command ends no control VM
    Given a fleet of 5 control VMs and 1 entry VMs
    And the fleet holds version 4
    When a peer proposes this malformed command: <command>
    Then it is refused with a declared error, and no log contains it
    When a leader without the check commits this malformed command: <command>
    Then its proposer gets a declared error, and all stores stay as they were
    And that is so after all control VMs restarted, and version 5 is stored

    Examples:
      | command                    |
      | a document that is missing |
      | a document with no end     |
      | a document with a tail     |
      | a version as text          |
      | a reserved byte            |
      | an empty list              |
      | a list as the name         |
      | a list as the domain       |
      | text instead of an index   |
      | no domain                  |
      | a hold without traits      |
      | a hold of one value        |
      | a lift of a list           |
      | a history that is missing  |
      | a history of one value     |
