Feature: A fleet that loses many VMs at once

  Messages take 55 ms, as between regions. Each case runs with six seeds.

  Scenario Outline: Leases last through the loss of control VMs
    When in fleets of 5 control VMs <event>
    Then no entry VM loses its lease in the next 10 seconds

    Examples:
      | event                                              |
      | the leader is killed                               |
      | the leader and another are killed                  |
      | the leader and another are killed after a lost disk |

  Scenario Outline: A malformed message does not stop a VM
    Given a fleet of 5 control VMs and 3 entry VMs
    And the fleet holds version 4
    When for 3 seconds all control VMs reply to <method> with <message>
    Then version 6 is in force on all entry VMs 5 seconds later

    Examples:
      | method        | message             |
      | fleet.poll    | nothing             |
      | fleet.poll    | a list              |
      | fleet.poll    | an empty map        |
      | fleet.poll    | loads of text       |
      | fleet.poll    | an unread document  |
      | fleet.poll    | instances of text   |
      | fleet.list    | nothing             |
      | fleet.list    | a list              |
      | fleet.take    | nothing             |
      | fleet.take    | a grant of text     |
      | fleet.confirm | nothing             |

  Scenario Outline: A fleet serves again soon after a power loss
    Rejected clients are told to retry 2 seconds after the start of a VM; 0.6
    seconds of these are for the start of its processes.

    When in fleets of 5 control VMs <event>
    Then all entry VMs have a lease and a configuration within <time> seconds

    Examples:
      | event                                         | time |
      | all VMs are restarted                         | 1.4  |
      | all VMs are restarted, two without their disk | 3    |
