Feature: Late responses to earlier requests
  Servers may respond twice, the second time late. No client gets a response to
  another request, and only the own response of a request states that it did
  not run. The platform's HTTP client on real sockets.

  Scenario Outline: Bytes that belong to an earlier request count for no other
    A copy of each kind is written at the given moment, before and after safe,
    unsafe and streaming requests.

    Given a backend server that writes a late copy <moment>
    When safe, unsafe and streaming requests follow one another there
    Then each gets its whole own response, or an error of unknown outcome
    And <failing> of them get an error

    Examples:
      | moment                         | failing |
      | behind a complete response     | none    |
      | while the connection is idle   | none    |
      | between the check and the send | some    |
      | while a body is sent           | some    |
      | before the next response       | some    |

  Scenario Outline: A rejection without a request ID counts on a new connection only
    Given a backend server that rejects requests with status <status> and <headers>
    When a request is sent on a <connection> connection
    Then its outcome is <outcome>

    Examples:
      | status | headers          | connection | outcome |
      | 503    | only the mark    | new        | not run |
      | 421    | only the mark    | new        | not run |
      | 503    | the ID, the mark | new        | not run |
      | 503    | the ID, the mark | kept       | not run |
      | 421    | the ID, the mark | kept       | not run |
      | 503    | only the mark    | kept       | unknown |
      | 429    | only the mark    | kept       | unknown |
      | 400    | only the mark    | kept       | unknown |
      | 421    | only the mark    | kept       | unknown |
      | 421    | the ID           | kept       | unknown |
      | 503    | the ID           | new        | unknown |

  Scenario: What a server says of itself counts in its own response only
    Given a backend server that rejects requests with status 503 and only the mark
    When a request is sent on a kept connection
    Then nothing is known of the server from its response

  Scenario: Two requests with the same ID never share a connection
    The late response to the first would stand for the second.

    Given a backend server that writes a late copy before the next response
    When 3 requests with the same ID and other bodies follow one another there
    Then each gets the response to its own body
    And the server accepted 3 late-response connections

  Scenario: A server that responded twice gets no request on a kept connection
    Given a backend server that writes a late copy while the connection is idle
    When 5 safe requests follow one another there after the first copy
    Then each gets its whole own response, or an error of unknown outcome
    And none of them get an error
    And each of these 5 requests has a connection of its own
    And the dropped copies are logged with the name of the server

  Scenario Outline: Clients of servers that stutter get their own responses
    Real dispatchers send 1200 requests, 24 at once, to servers that write
    copies, rejections and other bytes at random moments.

    Given 4 backend servers that stutter at random, with seed <seed>
    And connections are used again <seconds> seconds after a copy
    When 1200 random requests are sent through an entry VM
    Then each client gets its own whole response, or an error
    And no request that may run only once ran twice
    And no request that ran is reported as not run
    And most clients get a response

    Examples:
      | seed | seconds |
      | 1    | 60.0    |
      | 2    | 0.0     |
      | 3    | 0.0     |
      | 4    | 0.05    |
