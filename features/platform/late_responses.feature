Feature: Late responses to earlier requests
  Servers may respond twice, the second time late. No client gets a response to
  another request, and only the own response of a request states that it did
  not run. The platform's HTTP client on real sockets.

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
