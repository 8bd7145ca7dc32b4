Feature: Membership and failure detection
  Gossip runs in fake time over a fake network: the VMs of a region exchange
  heartbeats, and regions exchange summaries.

  Scenario Outline: The state of a VM as seen by another VM
    Given 9 VMs in 3 regions that have gossiped for 20 seconds
    When in the membership <event>
    Then within <seconds> seconds <observer> considers <vm> to be <state>

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

  Scenario: Message loss does not make VMs appear failed
    Given 9 VMs in 3 regions that have gossiped for 20 seconds
    When in the membership a tenth of the messages is lost
    Then for 300 seconds every VM considers every other to be alive

  Scenario: The gossip of a VM does not grow with the number of regions
    Then a VM of 12 regions makes no more exchanges than one of 3
