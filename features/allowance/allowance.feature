Feature: Enforcement of an organisation's rate and burst over the whole fleet
  In each region the VM that holds the region's lease grants tokens. Over any
  window of T seconds at most burst + rate * T tokens are spent.

  Scenario Outline: Spending stays within rate and burst during failures
    Given a fleet of 7 VMs in 3 regions that ask for four times the rate
    When through 30 seconds <failure>
    Then no window of what was spent holds more than allowed
    And at least <share> percent of the rate was spent

    Examples:
      | failure                                      | share |
      | nothing fails                                | 90    |
      | every holder of a lease crashes and restarts | 40    |
      | every VM is restarted one after the other    | 40    |
      | all VMs of a region are restarted at once    | 60    |
      | one region is cut off                        | 80    |
      | all regions are cut off from each other      | 80    |
      | one VM is cut off                            | 60    |
      | a holder can send but not hear               | 60    |
      | a fifth of the messages is lost              | 40    |
      | a fifth of the messages is doubled           | 80    |
      | a fifth of the messages is late              | 40    |
      | holders are frozen for 10 seconds            | 20    |

  Scenario Outline: An organisation within its rate is not rejected
    Given a fleet of 7 VMs in 3 regions
    When an organisation sends 80 percent of its rate <how>
    Then at most <refused> percent of its requests are refused

    Examples:
      | how                                | refused |
      | evenly through all VMs             | 0       |
      | through one VM                     | 0       |
      | through one region                 | 0       |
      | through a VM that changes each 5 s | 0       |
      | through a region that changes each 5 s | 0   |
      | with requests of half the burst    | 0       |
      | with 90 percent refunded           | 0       |

  Scenario Outline: A partitioned region serves its share of the rate
    Given a fleet of 7 VMs in 3 regions
    When ridge is cut off <moment>, and asks for 25 percent of the rate
    Then at most 0 percent of its requests are refused

    Examples:
      | moment                    |
      | with full buckets         |
      | right after a restart     |
      | when its tokens are spent |

  Scenario Outline: Tokens that a VM holds count against the burst
    Given a fleet of 7 VMs in 3 regions
    When all buckets are full and a VM is granted a region's tokens, unspent
    And <event>, and then everything is spent at once
    Then no window of what was spent holds more than allowed
    And at least <share> percent of the burst was spent

    Examples:
      | event                                  | share |
      | half a second passes                   | 90    |
      | the holder of the region resigns       | 60    |
      | the VM alone is frozen for 10 seconds  | 60    |
      | the VM is cut off for a second         | 60    |

  Scenario: A request whose tokens cannot accrue in time is rejected early
    Given a fleet of 7 VMs in 3 regions
    When a running request holds 2900 of the 3000 tokens
    Then one for 2800 more is refused within 0.75 seconds
    And one for 1500 is served within its 2 seconds

  Scenario: A bucket whose tokens are all granted grants no more
    Given a full bucket whose tokens are all granted
    Then it grants nothing while the grants are outstanding
    And it grants refunded tokens, and those that accrue after a grant expired

  Scenario: A new lease holder waits until the previous holder's grants expire
    Given a fleet of 7 VMs in 3 regions
    When the holder of a region resigns
    Then the new holder grants nothing until the previous grants have expired

  Scenario: A lowered rate applies to later windows
    Given a fleet of 7 VMs in 3 regions that ask for four times the rate
    When the rate is lowered to a tenth while they ask
    Then no window after that holds more than the new rate allows

  Scenario: An organisation that is removed and added again has no full bucket
    Given a fleet of 7 VMs in 3 regions that ask for four times the rate
    When the organisation is removed for 1 second and added again
    Then no window of what was spent holds more than allowed

  Scenario: A region of two VMs keeps a lease holder when one VM is lost
    Given a fleet of 7 VMs in 3 regions
    When the holder of a region with two VMs crashes for good
    Then the other VM of the region holds the lease

  Scenario: A restarted voter grants no lease before an earlier one has expired
    Given a fleet of 7 VMs in 3 regions
    When the voters of a region are restarted within one lease
    Then no second holder appears before the first lease has expired

  Scenario: A step of the wall clock does not affect the allowance
    Given a fleet of 7 VMs in 3 regions that ask for four times the rate
    When the wall clocks step by an hour and back
    Then no window of what was spent holds more than allowed

  Scenario: A resigning holder transfers the lease
    Given a fleet of 7 VMs in 3 regions
    When the holder of a region resigns
    Then another VM of the region holds the lease within 2 seconds

  Scenario Outline: Random schedules of failures
    Then <examples> random schedules of <steps> steps of the allowance hold

    Examples:
      | examples | steps |
      | 40       | 30    |
