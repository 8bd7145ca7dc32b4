Feature: A fleet that loses many VMs at once

  Regions are 55 ms apart. Each case is played with six seeds.

  Scenario Outline: Leases outlive the loss of control VMs
    When in fleets of 5 control VMs <event>
    Then no entry VM loses its lease in the next 10 seconds

    Examples:
      | event                                              |
      | the leader is killed                               |
      | the leader and another are killed                  |
      | the leader and another are killed after a lost disk |

  Scenario Outline: A fleet that lost its power serves again soon
    Refused callers are told to come back 2 seconds after a VM's start; 0.6 of
    these are for programs to start.

    When in fleets of 5 control VMs <event>
    Then all entry VMs have a lease and a configuration within <time> seconds

    Examples:
      | event                                         | time |
      | all VMs are restarted                         | 1.4  |
      | all VMs are restarted, two without their disk | 3    |
