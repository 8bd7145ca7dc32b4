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
