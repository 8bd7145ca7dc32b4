Feature: Which VMs are alive
  Gossip in fake time over a fake network: a region's VMs exchange
  heartbeats, and regions exchange summaries.

  Scenario Outline: What a VM thinks of the others
    Given 9 VMs in 3 regions that have gossiped for 20 seconds
    When in the membership <event>
    Then within <seconds> seconds <observer> thinks that <vm> is <state>

    Examples:
      | event                                  | seconds | observer   | vm         | state   |
      | nothing happens                        | 1       | a-0        | a-2        | alive   |
      | nothing happens                        | 1       | a-0        | c-1        | alive   |
      | a-1 crashes                            | 15      | a-0        | a-1        | silent  |
      | a-1 crashes                            | 30      | c-2        | a-1        | silent  |
      | a-0 crashes                            | 30      | c-2        | a-0        | silent  |
      | a-0 crashes                            | 30      | c-2        | a-1        | alive   |
      | a-1 leaves                             | 3       | a-0        | a-1        | leaving |
      | a-1 leaves                             | 10      | b-0        | a-1        | silent  |
      | a-1 crashes and starts again           | 15      | a-0        | a-1        | alive   |
      | a-1 leaves and starts again            | 15      | a-0        | a-1        | alive   |
      | a-1 starts again with its clock behind | 15      | a-0        | a-1        | alive   |
      | region c is cut off                    | 30      | a-0        | c-1        | silent  |
      | region c is cut off                    | 30      | c-1        | c-2        | alive   |
      | region c is cut off and comes back     | 30      | a-0        | c-1        | alive   |
      | a-1 can hear but not send              | 15      | a-0        | a-1        | silent  |
      | all of region b restarts at once       | 30      | a-0        | b-2        | alive   |
      | a third of the messages is lost        | 1       | a-0        | a-2        | alive   |

  Scenario: No VM is thought dead without a reason
    Given 9 VMs in 3 regions that have gossiped for 20 seconds
    When in the membership a tenth of the messages is lost
    Then for 300 seconds every VM thinks that every other is alive

  Scenario: A VM's cost does not grow with the fleet
    Then a VM of 12 regions makes no more exchanges than one of 3
