Feature: Who gives way when memory or connections are short
  The decisions are replayed without sockets, in simulated time.

  Scenario: A crowd of large bodies does not displace small requests
    Given an account of 10 MB for requests
    When 200 clients at 4 addresses send bodies of 1 MB that do not end
    And 500 small requests arrive, run and end meanwhile
    Then at no time more than 10 MB were held
    And no small request was rejected

  Scenario: A client that progresses is kept longer than one that does not
    Given an account of 10 MB for requests
    When 9 clients hold 1 MB each, and one of them has stalled for 5 seconds
    And another client sends 2 MB
    Then the stalled client was rejected first

  Scenario: The address that holds most gives way first
    Given an account of 10 MB for requests
    When address a holds 8 bodies of 1 MB, and address b one of 1.5 MB
    And another client sends 2 MB
    Then only clients at address a were rejected

  Scenario: Large requests that run leave room for small ones
    Given an account of 10 MB for requests
    When 20 requests of 1 MB have arrived completely
    Then 3 of them run, and the others are rejected
    And a request of 10 kB runs

  Scenario: Responses that grow do not displace requests that arrive
    Given an account of 10 MB for requests
    When responses to 300 requests grow until there is no room for them
    Then more than 7 MB are held
    And 50 requests of 10 kB arrive, and none has to give way

  Scenario: Responses that grow go before large bodies that arrive
    Given an account of 10 MB for requests
    When 20 clients at 4 addresses send bodies of 1 MB that do not end
    And responses to 300 requests grow until there is no room for them
    Then more than 7 MB are held
    And 50 requests of 10 kB arrive, and none has to give way

  Scenario: What has run to its end holds nothing
    Given an account of 10 MB for requests
    When 1000 requests of 1 MB arrive, run and end one after another
    Then all of them ran, and nothing is held

  Scenario: The connection that has waited longest gives way
    Given a limit of 3 connections
    When 2 connections have served a request, and 1 new one has not
    And another connection comes
    Then the new one was closed
    When another connection comes
    Then the second new one was closed

  Scenario Outline: A connection gives way before its request can arrive
    Given a limit of 3 connections
    When all 3 connections <have> for <seconds> seconds
    Then the next one is accepted in <wait> seconds

    Examples:
      | have             | seconds | wait |
      | have no request  | 0       | 0.1  |
      | have no request  | 0.04    | 0.06 |
      | have no request  | 0.2     | 0    |
      | serve requests   | 0       | 0    |
      | have served one  | 0       | 0    |

  Scenario Outline: Idle connections keep the place of clients that send requests
    Given a limit of 3 connections
    When 2 connections have served a request, and 1 new one has not
    And after <seconds> seconds the new one is closed and another comes
    Then the next one is accepted in <wait> seconds

    Examples:
      | seconds | wait |
      | 0.5     | 0.1  |
      | 1       | 0    |

  Scenario: A connection is refused while all others serve
    Given a limit of 3 connections
    When 3 connections serve requests
    And another connection comes
    Then it is refused

  Scenario: A stalled body gives its connection to another one
    Given a limit of 3 connections
    When 3 connections wait for bodies, one of them for 2 seconds
    And another connection comes
    Then the stalled one was closed

  Scenario Outline: The limits follow from the machine
    Given a machine with <memory> MB and <descriptors> descriptors
    Then requests may hold <requests> MB
    And clients may have <connections> connections

    Examples:
      | memory | descriptors | requests | connections |
      | 300    | 4100        | 110      | 2237        |
      | 296    | 4096        | 108      | 2197        |
      | 128    | 4100        | 24       | 488         |
      | 296    | 400         | 108      | 60          |
      | 64     | 400         | 8        | 60          |

  Scenario Outline: A body limit that the memory cannot hold is reported
    When settings have <memory> MB of memory and bodies of <body> bytes
    Then the settings are <outcome>

    Examples:
      | memory | body     | outcome                        |
      | 300    | 4194304  | valid                          |
      | 128    | 16777216 | rejected with limits.body_bytes |

  Scenario: A forwarded request that the VM has no room for is rejected
    Given entry VMs in regions a and b, and requests that run in region b only
    When the VM of region b has no room, and one of region a forwards 1 MB
    Then the request was rejected as not run, and no engine got it
    When a small request is forwarded
    Then it is answered, and the VM of region b holds nothing

  Scenario Outline: A connection that was lost holds nothing afterwards
    Given an account of 10 MB for requests
    When a client sends 1 MB, its connection is lost, and then <what>
    Then nothing is held, and the request was rejected

    Examples:
      | what                          |
      | its request is to run         |
      | its response needs 1 MB       |
      | its size is set               |
      | a further packet of it counts |
