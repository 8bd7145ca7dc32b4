Feature: Rejected clients return when they can be served
  Clients return once, after the Retry-After of a rejection, if it is at most a
  third of their remaining time.

  Scenario Outline: Few clients that return as told are rejected again
    Given a deployment in which requests compete for capacity
    When <pattern> is replayed
    Then at most 5 percent of the returned clients are rejected again
    And at most 10 percent of the admitted requests are late or fail
    And short requests are served on time at most 5 percent less often than long ones
    And each class is served at least a quarter as often as all
    And each organisation and region is served at least a quarter as often as all

    Examples:
      | pattern                                   |
      | a burst of twice the capacity             |
      | a lasting load of twice the capacity      |
      | a lasting load of four times the capacity |

  Scenario: A load that fits rejects nobody
    Given a deployment in which requests compete for capacity
    When a load that fits is replayed
    Then no request is rejected

  Scenario: No more returns are promised than can be served
    Given a service that admits 2 requests a second of 0.1 server seconds each and rejects 20
    When it plans the return of each rejected client for 10 seconds
    Then the promised returns take at most a twentieth of the admitted work
    And the other clients are sent away for more than a third of their time

  Scenario: Returns are spread over the time until they can be served
    Given a service with a spare capacity of 1 server second a second
    When 10 clients with requests of 0.05 server seconds are rejected at once
    Then each second gets at most 20 returns
    And no two return at the same time

  Scenario: Clients that were sent away displace few new requests
    Given a service that admits 2 requests a second of 0.1 server seconds each and rejects 20
    When 50 clients return without a promise within 5 seconds
    Then at most 4 of them come before new requests

  Scenario: The promises of a lost VM expire
    Given a service with a spare capacity of 1 server second a second
    When 10 clients with requests of 0.05 server seconds are rejected at once
    And none of them returns for 10 seconds
    Then less than a tenth of the promised returns may still come

  Scenario: A long request does not use the promises of others
    Given a service that admits 2 requests a second of 0.1 server seconds each and rejects 20
    When 50 clients with up to 10 times the usual work return to this VM as another region has promised
    Then each of them comes before new requests

  Scenario: A forwarded return uses no promise of the region that runs it
    Given a service that admits 2 requests a second of 0.1 server seconds each and rejects 20
    When 50 returns that other regions forward are admitted
    Then a client that returns comes before new requests
