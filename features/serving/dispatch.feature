Feature: A request runs as often as it may, and its answer is whole
  The product's dispatcher before emulated engines, in fake time.

  Scenario Outline: What a fault of a backend server does to a request
    Given 1 region with 2 engines and 1 entry VM
    And a <kind> route with <most> sends
    When a request meets a server that <fault>
    Then the caller gets <result>
    And the request was sent to <sends> servers

    Examples:
      | kind       | most | fault                     | result               | sends |
      | unsafe     | 2    | is sound                  | the whole answer     | 1     |
      | unsafe     | 2    | breaks before the answer  | an unknown outcome   | 1     |
      | unsafe     | 2    | fails                     | the server's failure | 1     |
      | unsafe     | 2    | is full                   | the whole answer     | 2     |
      | unsafe     | 2    | is another instance       | the whole answer     | 2     |
      | unsafe     | 2    | is unreachable            | the whole answer     | 2     |
      | unsafe     | 1    | is full                   | a promise            | 1     |
      | unsafe     | 1    | is unreachable            | the whole answer     | 2     |
      | safe       | 2    | breaks before the answer  | the whole answer     | 2     |
      | safe       | 2    | fails                     | the whole answer     | 2     |
      | safe       | 1    | fails                     | the server's failure | 1     |
      | resumable  | 2    | breaks after 2 events     | the whole answer     | 2     |
      | resumable  | 2    | goes silent after 2 events | the whole answer    | 2     |
      | resumable  | 1    | breaks after 2 events     | a broken answer      | 1     |
      | stream     | 2    | breaks after 2 events     | a broken answer      | 1     |
      | stream     | 2    | breaks before the answer  | an unknown outcome   | 1     |

  Scenario: The caller has its final answer when the route's time is over
    Given 1 region with 1 engines and 1 entry VM
    And a unsafe route with 1 sends
    When a request meets a server that is silent
    Then the caller gets an unknown outcome after 4 seconds

  Scenario Outline: A VM that cannot serve yet names a time at which it will
    Given 1 region with 1 engines and 1 entry VM
    When the VM has <state>
    And a request comes <after> seconds later
    Then it is refused with a pause of <least> to <most> seconds

    Examples:
      | state                                     | after | least | most |
      | started and has no configuration          | 0.0   | 2.0   | 3.0  |
      | started and has no configuration          | 1.0   | 1.0   | 1.5  |
      | started and has no configuration          | 9.0   | 0.3   | 0.45 |
      | lost its lease                            | 0.0   | 1.5   | 2.25 |

  Scenario: A server that falls silent is left
    Given 1 region with 2 engines and 1 entry VM
    And a resumable route with 2 sends
    When nothing comes any more from server i-a0
    And 30 requests come in 3 seconds
    Then all of them are served within 1.5 seconds
    And server i-a0 got at most 15

  Scenario: A caller that reads slowly does not cost its server
    Given 1 region with 1 engines and 1 entry VM
    And a resumable route with 2 sends
    When a caller reads one event and then nothing for 3 seconds
    Then server i-a0 is not thought silent or slow

  Scenario: A service of long calls has no server left out for them
    Given 1 region with 1 engines and 1 entry VM
    And a safe route with 2 sends
    When calls take 1 seconds each, and one takes 3 seconds
    Then server i-adesk is not left out

  Scenario Outline: A hint of the length that is no count of tokens is ignored
    When a request has the length hint <hint>
    Then its expected tokens are <tokens>

    Examples:
      | hint                           | tokens |
      | 320                            | 320    |
      | -4                             | 0      |
      | many                           | 0      |
      | 99999999999999999999           | 0      |

  Scenario: A server works no more for a caller that has gone
    Given 1 region with 1 engines and 1 entry VM
    And a resumable route with 2 sends
    When a caller leaves in the middle of a stream
    Then the server's connection is closed at once

  Scenario: A server works no more for a caller that left another region
    Given region a without engines and region b with 1 engine
    And a resumable route with 2 sends
    When a caller leaves in the middle of a stream
    Then the server's connection is closed at once

  Scenario: A region without servers has its requests run elsewhere
    Given region a without engines and region b with 1 engine
    And a resumable route with 2 sends
    When a request meets a server that is sound
    Then the caller gets the whole answer

  Scenario: A region whose entry VMs all leave still runs what it can end
    Given region a without engines and region b with 1 engine
    And a resumable route with 2 sends
    When all entry VMs of region b leave
    And a request meets a server that is sound
    Then the caller gets the whole answer

  Scenario: A leaving VM takes nothing that it may not end
    Given region a without engines and region b with 1 engine
    And a resumable route with 2 sends
    When all entry VMs of region b have left for too long
    And a request meets a server that is sound
    Then the caller gets a promise

  Scenario Outline: Homes are never left
    Given region a without engines and region b with 1 engine
    And a route at home in <home>
    When a request meets a server that is sound
    Then the caller gets <result>

    Examples:
      | home | result           |
      | b    | the whole answer |
      | a    | a promise        |

  Scenario: What a VM sent to another region is shared by all its servers
    Given region a without engines and region b with 3 engines
    And a route at home in b
    When 14 requests of 3000 tokens come to region a at once
    Then all of them are served within 1 seconds

  Scenario Outline: A server that must get nothing new gets nothing
    Given 1 region with 2 engines and 1 entry VM
    And a resumable route with 2 sends
    When server i-a0 <state>
    And 20 requests come
    Then server i-a0 got nothing

    Examples:
      | state            |
      | is leaving       |
      | is evacuated too |
      | left its address |

  Scenario: Sound servers share the requests
    Given 1 region with 2 engines and 1 entry VM
    And a resumable route with 2 sends
    When 20 requests come
    Then server i-a0 got 5 requests or more
    And server i-a1 got 5 requests or more

  Scenario: A cold server gets no more than it bears, from all VMs together
    Given 1 region with 2 engines and 4 entry VM
    And a resumable route with 2 sends
    When server i-a0 is cold
    And 400 requests come in 10 seconds
    Then server i-a0 got at most 9 requests in any second

  Scenario: A key that was withdrawn while its request waited runs nothing
    Given 1 region with 1 engines and 1 entry VM
    And a resumable route with 2 sends
    When the key is withdrawn between decision and sending
    Then the caller gets an error 401
    And the request was sent to 0 servers

  Scenario: Repeats keep to their budget when everything fails
    Given 1 region with 4 engines and 1 entry VM
    And a safe route with 4 sends
    When for 20 seconds all servers fail under 10 requests a second
    Then in any 10 seconds at most 70 repeats were sent
