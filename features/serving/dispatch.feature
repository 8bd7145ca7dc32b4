Feature: Dispatching, retries and resumption of requests
  The real dispatcher with emulated engines, in fake time.

  Scenario Outline: A backend server fails during a request
    Given 1 region with 2 engines and 1 entry VM
    And a <kind> route with <max_attempts> attempts
    When a request is sent to a server that <fault>
    Then the caller gets <result>
    And the request was sent to <attempts> servers

    Examples:
      | kind      | max_attempts | fault                         | result                | attempts |
      | unsafe    | 2            | is healthy                    | the complete response | 1        |
      | unsafe    | 2            | disconnects before responding | an unknown outcome    | 1        |
      | unsafe    | 2            | responds with an error        | the server's error    | 1        |
      | unsafe    | 2            | is full                       | the complete response | 2        |
      | unsafe    | 2            | is another instance           | the complete response | 2        |
      | unsafe    | 2            | is unreachable                | the complete response | 2        |
      | unsafe    | 1            | is full                       | a rejection           | 1        |
      | unsafe    | 1            | is unreachable                | the complete response | 2        |
      | safe      | 2            | disconnects before responding | the complete response | 2        |
      | safe      | 2            | responds with an error        | the complete response | 2        |
      | safe      | 1            | responds with an error        | the server's error    | 1        |
      | resumable | 2            | disconnects after 2 events    | the complete response | 2        |
      | resumable | 2            | goes silent after 2 events    | the complete response | 2        |
      | resumable | 2            | sends single bytes after 2 events | the complete response | 2    |
      | resumable | 2            | is slow after 2 events        | the complete response | 1        |
      | stream    | 2            | is slow after 2 events        | the complete response | 1        |
      | stream    | 2            | sends single bytes after 2 events | a truncated response | 1     |
      | unsafe    | 2            | is silent                     | an unknown outcome    | 1        |
      | resumable | 1            | disconnects after 2 events    | a truncated response  | 1        |
      | resumable | 1            | responds with an error page   | the server's error    | 1        |
      | stream    | 2            | responds with an error page   | the server's error    | 1        |
      | stream    | 2            | disconnects after 2 events    | a truncated response  | 1        |
      | stream    | 2            | disconnects before responding | an unknown outcome    | 1        |

  Scenario Outline: A request that may have run is not reported as not run
    The rejection by the last server used to hide that an earlier one had got
    the request and may have run it.

    Given <regions>
    And a <kind> route with <max_attempts> attempts
    When a request is sent to a server that <fault>
    Then the caller gets an unknown outcome

    Examples:
      | regions                                          | kind      | max_attempts | fault |
      | 1 region with 2 engines and 1 entry VM           | safe      | 2 | disconnects before responding, then to one that is full |
      | 1 region with 2 engines and 1 entry VM           | safe      | 3 | disconnects before responding, then to one that is unreachable |
      | 1 region with 2 engines and 1 entry VM           | resumable | 2 | disconnects before the first event, then to one that is full |
      | 1 region with 2 engines and 1 entry VM           | safe      | 2 | is silent, then to one that is full |
      | region a with 1 engine and region b with 1 engine | safe      | 2 | disconnects before responding, then to one that is full |
      | region a without engines and region b with 2 engines | safe   | 3 | disconnects before responding, then to one that is full |

  Scenario Outline: A stream cut off by an orderly close does not look complete
    Given <regions>
    And a <kind> route with <max_attempts> attempts
    When a request is sent to a server that <fault>
    Then the caller gets <result>

    Examples:
      | regions                                         | kind      | max_attempts | fault                         | result                |
      | 1 region with 2 engines and 1 entry VM          | stream    | 2            | closes within the third event | a truncated response  |
      | region a without engines and region b with 1 engine | stream | 2           | closes within the third event | a truncated response  |
      | 1 region with 2 engines and 1 entry VM          | stream    | 2            | closes before the first event | an unknown outcome    |
      | region a without engines and region b with 1 engine | stream | 2           | closes before the first event | an unknown outcome    |
      | 1 region with 2 engines and 1 entry VM          | resumable | 1            | closes within the third event | a truncated response  |
      | 1 region with 2 engines and 1 entry VM          | resumable | 1            | closes before the first event | an unknown outcome    |
      | 1 region with 2 engines and 1 entry VM          | resumable | 2            | closes within the third event | the complete response |
      | 1 region with 2 engines and 1 entry VM          | resumable | 2            | closes before the first event | the complete response |

  Scenario Outline: A stream that breaks off does not go on with what is no part of it
    Given <regions>
    And a resumable route with 3 attempts
    When a request is sent to a server that disconnects after 2 events, then to one that <fault>, then to one that <last>
    Then the caller gets <result>

    Examples:
      | regions                                              | fault                                  | last                     | result                |
      | 1 region with 3 engines and 1 entry VM               | responds with an error                 | is healthy               | the complete response |
      | 1 region with 3 engines and 1 entry VM               | responds with an error                 | responds with an error   | a truncated response  |
      | 1 region with 3 engines and 1 entry VM               | responds with JSON and status 200      | is healthy               | the complete response |
      | 1 region with 3 engines and 1 entry VM               | responds with JSON and status 200      | is full                  | a truncated response  |
      | 1 region with 3 engines and 1 entry VM               | sends the head of an error as an event | is healthy               | the complete response |
      | 1 region with 3 engines and 1 entry VM               | sends the head of an error as an event | is unreachable           | a truncated response  |
      | 1 region with 3 engines and 1 entry VM               | sends a head after its first event     | is healthy               | the complete response |
      | 1 region with 3 engines and 1 entry VM               | sends a head after its first event     | disconnects before responding | a truncated response |
      | 1 region with 3 engines and 1 entry VM               | closes before the first event          | is healthy               | the complete response |
      | 1 region with 3 engines and 1 entry VM               | closes before the first event          | closes before the first event | a truncated response |
      | 1 region with 3 engines and 1 entry VM               | begins anew                            | is healthy               | the complete response |
      | 1 region with 3 engines and 1 entry VM               | begins anew                            | begins anew              | a truncated response  |
      | region a without engines and region b with 3 engines | responds with JSON and status 200      | is full                  | a truncated response  |
      | region a without engines and region b with 3 engines | sends the head of an error as an event | is full                  | a truncated response  |
      | region a without engines and region b with 3 engines | closes before the first event          | is full                  | a truncated response  |
      | region a without engines and region b with 3 engines | begins anew                            | is full                  | a truncated response  |

  Scenario Outline: An event without end is not buffered without limit
    Given 1 region with 2 engines and 1 entry VM
    And a <kind> route with 2 attempts
    When a request is sent to a server that sends an endless event
    Then the caller gets <result>
    And the server was cut off within 2 MiB

    Examples:
      | kind      | result                |
      | resumable | the complete response |
      | stream    | a truncated response  |

  Scenario: The caller gets an error when the route's timeout expires
    Given 1 region with 1 engines and 1 entry VM
    And a unsafe route with 1 attempts
    When a request is sent to a server that is silent
    Then the caller gets an unknown outcome after 4 seconds

  Scenario Outline: A VM that cannot serve yet says when to retry
    Given 1 region with 1 engines and 1 entry VM
    When the VM has <state>
    And a request arrives <after> seconds later
    Then it is rejected with a retry delay of <min> to <max> seconds

    Examples:
      | state                            | after | min | max  |
      | started and has no configuration | 0.0   | 2.0 | 3.0  |
      | started and has no configuration | 1.0   | 1.0 | 1.5  |
      | started and has no configuration | 9.0   | 0.3 | 0.45 |
      | lost its lease                   | 0.0   | 1.5 | 2.25 |

  Scenario: A silent server is ejected
    Given 1 region with 2 engines and 1 entry VM
    And a resumable route with 2 attempts
    When no more data arrives from server i-a0
    And 30 requests arrive in 3 seconds
    Then all of them are served within 1.5 seconds
    And server i-a0 got at most 15 requests

  Scenario Outline: A server that is silent for about a second is not given up
    Given 1 region with <engines> engines and 2 entry VM
    And a <kind> route with 4 attempts
    When 20 requests a second come for 6 seconds and <who> after 2 is silent for <seconds> seconds
    Then no server was ejected and nothing was run twice
    And each response is complete

    Examples:
      | engines | kind      | who         | seconds |
      | 3       | resumable | one server  | 1.0     |
      | 3       | resumable | one server  | 1.1     |
      | 3       | safe      | one server  | 1.0     |
      | 3       | unsafe    | one server  | 1.0     |
      | 3       | resumable | each server | 1.0     |
      | 1       | resumable | each server | 1.1     |

  Scenario: A slow caller does not count against the server
    Given 1 region with 1 engines and 1 entry VM
    And a resumable route with 2 attempts
    When a caller reads one event and then nothing for 3 seconds
    Then server i-a0 counts as neither silent nor slow

  Scenario: Long calls do not eject a server
    Given 1 region with 1 engines and 1 entry VM
    And a safe route with 2 attempts
    When calls take 1 seconds each, and one takes 3 seconds
    Then server i-adesk is not ejected

  Scenario Outline: A length hint that is not a token count is ignored
    When a request has the length hint <hint>
    Then its expected output tokens are <tokens>

    Examples:
      | hint                 | tokens |
      | 320                  | 320    |
      | -4                   | 0      |
      | many                 | 0      |
      | 99999999999999999999 | 0      |

  Scenario: A server stops working for a caller that disconnected
    Given 1 region with 1 engines and 1 entry VM
    And a resumable route with 2 attempts
    When a caller aborts a streamed response
    Then the server's connection is closed at once

  Scenario: A server stops working for a caller lost in another region
    Given region a without engines and region b with 1 engine
    And a resumable route with 2 attempts
    When a caller aborts a streamed response
    Then the server's connection is closed at once

  Scenario: Requests of a region without servers run in another one
    Given region a without engines and region b with 1 engine
    And a resumable route with 2 attempts
    When a request is sent to a server that is healthy
    Then the caller gets the complete response

  Scenario: A region whose entry VMs all shut down runs what it can complete
    Given region a without engines and region b with 1 engine
    And a resumable route with 2 attempts
    When all entry VMs of region b start to shut down
    And a request is sent to a server that is healthy
    Then the caller gets the complete response

  Scenario: A VM rejects requests that it may not complete before it stops
    Given region a without engines and region b with 1 engine
    And a resumable route with 2 attempts
    When all entry VMs of region b are about to stop
    And a request is sent to a server that is healthy
    Then the caller gets a rejection

  Scenario Outline: Requests never run outside their home regions
    Given region a without engines and region b with 1 engine
    And a route with home region <home>
    When a request is sent to a server that is healthy
    Then the caller gets <result>

    Examples:
      | home | result                |
      | b    | the complete response |
      | a    | a rejection           |

  Scenario: Forwarded requests are spread over the servers of the region
    Given region a without engines and region b with 3 engines
    And a route with home region b
    When 14 requests of 3000 tokens arrive in region a at once
    Then all of them are served within 1 seconds

  Scenario Outline: An unusable server gets no requests
    Given 1 region with 2 engines and 1 entry VM
    And a resumable route with 2 attempts
    When server i-a0 <state>
    And 20 requests arrive
    Then server i-a0 got no requests

    Examples:
      | state            |
      | is shutting down |
      | is evacuated     |
      | left its address |

  Scenario Outline: A server that announced that it is leaving gets nothing new
    Given 1 region with 2 engines and <entries> entry VM
    And a resumable route with 2 attempts
    When VM a0 hears from server i-a0 that it is leaving
    And <event>
    And 20 requests arrive
    Then server i-a0 got no more requests

    Examples:
      | entries | event                                        |
      | 1       | an older list arrives                        |
      | 1       | one list without server i-a0 arrives         |
      | 3       | 2 seconds pass                               |
      | 3       | all VMs but a0 restart, and 6 seconds pass   |
      | 3       | no message of a0 arrives for 3 seconds       |
      | 1       | 90 seconds pass                              |
      | 3       | all VMs restart                              |

  Scenario: Another run of a server that left is used
    Given 1 region with 2 engines and 2 entry VM
    And a resumable route with 2 attempts
    When VM a0 hears from server i-a0 that it is leaving
    And another run of server i-a0 starts
    And 20 requests arrive
    Then server i-a0 got 5 requests or more

  Scenario Outline: A server gets no requests for as long as it asked
    Given 1 region with 2 engines and 1 entry VM
    And a resumable route with 2 attempts
    When VM a0 is asked by server i-a0 to pause for <pauses> seconds
    And <event>
    And requests arrive at 10 a second for 8 seconds
    Then for <seconds> seconds server i-a0 got no requests, and then some

    Examples:
      | pauses  | event                                | seconds |
      | 3       | an older list arrives                | 3       |
      | 3       | one list without server i-a0 arrives | 3       |
      | 5 and 1 | an older list arrives                | 5       |
      | 3       | all VMs restart a second later       | 3       |

  Scenario: Requests that no server wants are rejected until one does
    Given 1 region with 2 engines and 1 entry VM
    And a resumable route with 2 attempts
    When all servers reject requests and ask for 4 seconds
    And a request arrives 1 seconds later
    Then it is rejected with a retry delay of 3 to 8 seconds
    And no server counts as failed

  Scenario: Healthy servers share the requests
    Given 1 region with 2 engines and 1 entry VM
    And a resumable route with 2 attempts
    When 20 requests arrive
    Then server i-a0 got 5 requests or more
    And server i-a1 got 5 requests or more

  Scenario: All VMs together keep to the rate limit of a cold server
    Given 1 region with 2 engines and 4 entry VM
    And a resumable route with 2 attempts
    When server i-a0 is cold
    And 400 requests arrive in 10 seconds
    Then server i-a0 got at most 9 requests in any second

  Scenario: A request is not sent if its key was withdrawn while it waited
    Given 1 region with 1 engines and 1 entry VM
    And a resumable route with 2 attempts
    When the key is withdrawn after the request was authenticated
    Then the caller gets an error 401
    And the request was sent to 0 servers

  Scenario: Retries keep to their budget when every server fails
    Given 1 region with 4 engines and 1 entry VM
    And a safe route with 4 attempts
    When all servers fail for 20 seconds under 10 requests a second
    Then in any 10 seconds at most 70 retries were sent
