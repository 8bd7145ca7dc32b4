Feature: Request cost and remaining work of servers
  Backend servers may share their machines, so that the same work takes
  different times on them, and requests that look alike cost different amounts
  of work.

  Scenario Outline: The load of servers that report a slowdown is known
    The load of every server that sent a fourth number used to be dropped
    without a log line, so that its queue looked empty.

    When a response has the instance load <value>
    Then its load is <load>, and <messages> invalid load is logged

    Examples:
      | value               | load        | messages |
      | 3,0,8               | 3 0 8 none  | no       |
      | 3,0,8,100           | 3 0 8 1.0   | no       |
      | 3, 2, 8, 240        | 3 2 8 2.4   | no       |
      | 3,0,8,62.5          | 3 0 8 0.625 | no       |
      | 3,0,8,150,7         | 3 0 8 1.5   | no       |
      | 3,0,8,150,unknown   | 3 0 8 1.5   | no       |
      | 3,0                 | unknown     | 1        |
      | 3,0,8,              | unknown     | 1        |
      | 3,0,8,0             | unknown     | 1        |
      | 3,0,8,-50           | unknown     | 1        |
      | 3,0,8,nan           | unknown     | 1        |
      | 3,0,8,inf           | unknown     | 1        |
      | -1,0,8              | unknown     | 1        |
      | 3,many,8,100        | unknown     | 1        |
      | 99999999999999,0,8  | unknown     | 1        |

  Scenario: The speeds of servers are told apart from what slows them now
    Placement by the last few durations alone sends requests to a server that
    was fast for an instant.

    Given servers of the speeds 0.6, 1 and 1.4
    When the slowdown of each changes 20 times a second, and it serves 3 requests a second for 60 seconds
    Then their speeds relative to each other are known within 15 percent
    And the next outlier changes no speed by more than 10 percent

  Scenario: Servers of equal speed are not told apart
    Otherwise deployments of equal servers would be served by other rules.

    Given servers of the speeds 1, 1 and 1
    When the slowdown of each changes 20 times a second, and it serves 3 requests a second for 60 seconds
    Then no speeds differ

  Scenario Outline: A reported slowdown is used while it is fresh
    Given a server that always reported 100 percent, and 300 percent just now
    When <seconds> seconds pass until a prompt of 5000 tokens is placed
    Then its predicted prefill takes <low> to <high> times as long as normal

    Examples:
      | seconds | low | high |
      | 0       | 2.8 | 3.0  |
      | 0.25    | 1.8 | 2.3  |
      | 0.5     | 1.0 | 1.2  |
      | 40      | 1.0 | 1.0  |

  Scenario: Another run of a server has no known speed
    Given a server that always reported 100 percent, and 300 percent just now
    When another run of that server is listed
    Then its predicted prefill takes 1.0 to 1.0 times as long as normal

  Scenario: The wait at servers that slow down in turn is predicted
    Averages of the last waits follow only when another server is slow; they
    predicted three times the wait.

    Given 1 region with 2 engines and 1 entry VM
    When one server after the other takes 4 times as long for 0.5 seconds and reports it, while 400 requests arrive
    Then half of the responses began within a factor of 2 of the predicted time
    And the slow server got at most a third of the requests

  Scenario: Lengths are predicted as distributions, by classes of requests
    A mean over all requests takes every request for a medium one.

    Given responses of 2 events on path /a and of 20 to 200 events on path /b
    Then the median for path /a is 2 to 3 events
    And the median for path /b is 80 to 140 events
    And the 95th percentile for path /b is 160 to 250 events
    And the median for path /c is that of the whole route
    And nothing is predicted for a route without history

  Scenario: A long response is expected to stay long
    Given responses of 2 events on path /a and of 20 to 200 events on path /b
    Then a request of the route is expected to have more events left after 5 than at its begin

  Scenario: One outlier moves no prediction far
    Given responses of 2 events on path /a and of 20 to 200 events on path /b
    When one response on path /a has 1000000 events
    Then the median for path /a is 2 to 3 events
    And the 95th percentile for path /a is 2 to 3 events

  Scenario: The number of learned classes is bounded
    When responses arrive on 10000 paths
    Then at most 2000 classes are kept

  Scenario: Old lengths are forgotten
    Given responses of 2 events on path /a and of 20 to 200 events on path /b
    When 300 seconds later 30 responses on path /a have 50 events
    Then the median for path /a is 45 to 60 events

  Scenario: Remaining work depends on what was generated already
    Given responses of 2 events on path /a and of 20 to 200 events on path /b
    Then two new requests on path /b are more work than ten on path /a
    And a request on path /b that is almost done is less work than a new one

  Scenario Outline: Servers of uneven speed do about the same share of work
    Nine servers have the speeds 0.6, 1 and 1.4, and each slows down and
    recovers 20 times a second. By predicted waits alone, the fast ones did
    1.4 to 1.6 times the mean work.

    When the load of uneven servers is replayed with <errors> predictions
    Then the busiest server has at most 1.3 times the mean work

    Examples:
      | errors   |
      | exact    |
      | twice    |
      | half     |
      | random   |
      | 1 s late |

  Scenario Outline: Uneven servers reject few requests of a load that fits
    Each VM sent requests to the server that had been idle by its last report.

    When the load of uneven servers is replayed with <errors> predictions
    Then no server rejects more than 1 in 100 arrivals

    Examples:
      | errors   |
      | exact    |
      | twice    |
      | half     |
      | random   |

    @known_red
    Examples:
      | errors   |
      | 1 s late |

  @known_red
  Scenario Outline: Evening out the work of servers delays no short requests
    With least requests, one in eight was late at the slow servers.

    When the load of uneven servers is replayed with <errors> predictions
    Then short requests are on time at least as often as before

    Examples:
      | errors   |
      | exact    |
      | twice    |
      | half     |
      | random   |
      | 1 s late |

  Scenario: Placement by work is logged with its prediction and observation
    Given 1 region with 2 engines and 1 entry VM
    When one server after the other takes 4 times as long for 0.5 seconds and reports it, while 100 requests arrive
    Then placements are logged with slowdown, speed and cost, and costs as metrics

  Scenario: Placement is as before without reports or different speeds
    Given 1 region with 2 engines and 1 entry VM
    When 100 requests arrive at engines that report no slowdown
    Then no placement is logged with a cost
