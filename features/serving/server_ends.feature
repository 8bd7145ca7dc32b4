Feature: Ends of backend servers
  A VM relates requests whose responses broke off to the end of their server.
  The real dispatchers with emulated engines, in fake time.

  Scenario: The requests that a crash interrupted are logged with their segments
    Given region a with 1 entry VM and 2 engines
    When 3 requests run and their engine crashes
    Then the end of the engine is logged with 3 requests and their segments

  Scenario: The end of a server of plain requests is logged with their digests
    Given region a with 1 entry VM and 2 engines
    When 3 plain requests, two of them the same, run and their server crashes
    Then the end of the server is logged with 3 requests and 2 digests

  Scenario Outline: A connection that breaks is not the end of its server
    Given region a with 1 entry VM and 2 engines
    When a request meets an engine that <fault>
    Then no end of an engine is logged

    Examples:
      | fault                           |
      | disconnects before responding   |
      | disconnects after 2 events      |
      | closes within the third event   |
      | responds with an error          |
      | is full                         |

  Scenario: A server that leaves ends with its requests
    Given region a with 1 entry VM and 2 engines
    When 3 requests run and their engine leaves and ends
    Then the end of the engine is logged as one that was leaving
    And it is related to no request
