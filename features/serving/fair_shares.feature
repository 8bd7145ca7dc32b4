Feature: Organisations share the capacity of an overloaded service

  Scenario: A large organisation does not keep small ones out
    Given a deployment in which requests compete for capacity
    When an organisation with twenty times its load is replayed
    Then each small organisation is served on time at least as often as the large one
    And at most 5 percent of the returned clients are rejected again
    And each class is served at least a quarter as often as all

  Scenario Outline: Shares are weighted, and unused ones are lent
    When a capacity of 10 is divided among <asked> with the weights <weights>
    Then the shares are <shares>

    Examples:
      | asked    | weights | shares |
      | 20 20    | 1 1     | 5 5    |
      | 200 1 1  | 1 1 1   | 8 1 1  |
      | 20 20    | 3 1     | 7.5 2.5 |
      | 2 3      | 1 1     | 2 3    |

  Scenario: Only an organisation beyond its share is admitted less far
    Given organisations that ask for 20 and 1 server seconds, half of which are served
    Then the factor of the first one is less than 1
    And the factor of the second one is 1

  Scenario: Shares do not apply while nothing is rejected
    Given organisations that ask for 20 and 1 server seconds, all of which are served
    Then the factor of the first one is 1

  Scenario Outline: Reports of other VMs that are missing or incorrect
    Given organisations that ask for 20 and 1 server seconds, half of which are served
    When the other VMs report <report>
    Then the factor of the second one is 1
    And every factor is between 0.5 and 1

    Examples:
      | report         |
      | nothing        |
      | negative work  |
      | unknown names  |

  Scenario: The sums that VMs exchange are bounded
    Given 100 organisations with different work
    Then a VM reports the 32 with the most work

  Scenario: VMs of a region divide its capacity by the sums of all of them
    A VM that gets no requests of the large organisation would otherwise not
    know that a small one is within its share.
    Given 3 VMs of a region that exchange their sums
    When the first VM is asked for 20 server seconds by a large organisation and the others for 2 by a small one, half of which are served
    Then on each VM the factor of the large organisation is less than 1
    And on each VM the factor of the small organisation is 1
    When the first VM is lost for 2.6 seconds
    Then the other VMs no longer count its work

  Scenario: VMs exchange sums only during a shortage, and few bytes
    Sums in each report took most of the bandwidth of the relays, so that
    requests of clients were late there.

    When 16 organisations send requests to 2 services of 3 VMs
    Then the VMs exchange no sums
    When one request in ten is rejected
    Then 60 messages a second with the sums of 2 services take less than a fifth of a link of 5 Mbit/s
    And in 2 seconds at most 11 of the messages between two VMs contain sums, and each VM knows those of the others

  Scenario: Sums of other services and of later releases are ignored
    When a VM receives sums of another service, of an unknown kind and without a name
    Then it knows the sums of its own service only

  Scenario: A client returns to another VM than the one that promised it
    Given 3 VMs of a region that exchange their sums
    When the first VM promises 50 returns and the clients return to the second one
    Then each of them comes before new requests
    And 10 returns to the third one do not all come before new requests

  Scenario: Few clients that return to another VM are rejected again
    Given a deployment in which requests compete for capacity
    When an organisation with twenty times its load, returns to any VM is replayed
    Then each small organisation is served on time at least as often as the large one
    And at most 5 percent of the returned clients are rejected again
    And each class is served at least a quarter as often as all

  Scenario Outline: A small organisation is not limited when reports fail
    Given 3 VMs of a region that exchange their sums
    And <failure> between them
    When the first VM is asked for 20 server seconds by a large organisation and the others for 2 by a small one, half of which are served
    Then on each VM the factor of the small organisation is 1
    And on each VM every factor is between 0.5 and 1

    Examples:
      | failure                     |
      | reports that are 1 s late   |
      | a partition of the first VM |

  Scenario Outline: Incorrect reports halve the limit of an organisation at most
    Given 3 VMs of a region that exchange their sums
    And <failure> between them
    When the first VM is asked for 20 server seconds by a large organisation and the others for 2 by a small one, half of which are served
    Then on each VM every factor is between 0.5 and 1

    Examples:
      | failure                             |
      | reports that are ten times too high |
      | reports that are ten times too low  |

  Scenario Outline: Promises of other VMs are kept when reports fail
    Given 3 VMs of a region that exchange their sums
    And <failure> between them
    And VMs that admit 40 requests a second each
    When the first VM promises 50 returns and the clients return to the second one
    Then at most 5 percent of them do not come before new ones

    Examples:
      | failure                             |
      | reports that are 1 s late           |
      | reports that are ten times too high |
      | reports that are ten times too low  |

  Scenario: The promises of a VM that is killed expire
    Given 3 VMs of a region that exchange their sums
    When the first VM promises 20 returns and is lost
    Then at most 2 of 20 returns come before new requests

  Scenario: The log and the metrics show a shortage and how it is divided
    Given a deployment in which requests compete for capacity
    And its log lines
    When a burst of twice the capacity is replayed
    Then each shortage that is logged begins during the burst and ends after it
    And the metrics show waits, kept returns and the work of each organisation

  Scenario: The number of organisations in the metrics is bounded
    Given 100 organisations with different work
    Then the 32 with the most work are counted by name, and the others together
