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

  Scenario Outline: A fleet serves again soon after a power loss
    Rejected clients are told to retry 2 seconds after the start of a VM; 0.6
    seconds of these are for the start of its processes.

    When in fleets of 5 control VMs <event>
    Then all entry VMs have a lease and a configuration within <time> seconds

    Examples:
      | event                                         | time |
      | all VMs are restarted                         | 1.4  |
      | all VMs are restarted, two without their disk | 3    |
