Feature: Streams between VMs
  An authenticated connection carries many streams, and none of them blocks
  the others.

  Background:
    Given two VMs, one of which accepts connections

  Scenario Outline: A client that is not a peer is rejected
    When <client> connects to the peer listener
    Then the connection is closed
    And a real peer is still served

    Examples:
      | client                                  |
      | a client that speaks another protocol   |
      | a frame that claims 4 GiB               |
      | a frame just over the limit             |
      | a frame that is not msgpack             |
      | a frame of an unknown kind              |
      | a frame with too few values             |
      | a peer of another version               |
      | a peer with another secret              |
      | a peer of another deployment            |
      | a VM that is not a peer                 |
      | a peer that skips the proof             |
      | a peer that replays a recorded proof    |

  Scenario Outline: A malformed frame ends only the connection that it came on
    When an authenticated peer sends <frame>
    Then the connection is closed
    And a real peer is still served

    Examples:
      | frame                                   |
      | a call with a list as its ID            |
      | a call with a list as its method        |
      | a reply with a list as its ID           |
      | data that is not bytes                  |
      | data that is not msgpack                |
      | a credit of text                        |
      | a reset without an error                |
      | a reset with an error without a message |

  Scenario Outline: A dialled VM that is not the expected one is rejected
    When a VM dials a listener that <fault>
    Then the call fails as <code> and not run

    Examples:
      | fault                   | code             |
      | is closed               | peer_unreachable |
      | has another secret      | peer_authentication |
      | has another version     | peer_version     |
      | has another name        | peer_authentication |
      | sends nothing           | peer_unreachable |

  Scenario: A slow reader does not block another stream
    When a stream of 2 MiB is not read
    Then another stream of 2 MiB arrives completely
    And the sender of the first has sent at most its credit

  Scenario: The connection of a sender that exceeds its credit is closed
    When a peer sends more than its credit
    Then the connection is lost and a new one works

  Scenario: A call without a reply times out
    When a call gets no reply and 5 seconds pass
    Then the call fails as peer_timeout

  Scenario: The two ends of an idle connection do not both send heartbeats
    When a connection is idle for 9 seconds
    Then at most one ping and one pong were sent in each heartbeat interval
    And the connection is still in use

  Scenario: A connection needs no timer and no task for frames of its own
    When a connection is opened
    Then it added no timer and one task at each end

  Scenario: A peer that does not read makes a sender wait or drop frames
    When a peer stops reading and messages of 32 KiB are posted to it
    Then less than 100 KiB wait to be written and the rest is dropped
    And a message that must not be dropped is sent once the peer reads again

  Scenario: A connection that is not needed is closed
    When a connection is idle for 13 seconds
    Then it is closed at both ends and the next call opens a new one

  Scenario: A connection on which a call waits is kept
    When a call waits for 15 seconds on an idle connection
    Then its connection is not closed

  Scenario: A silent connection is closed and replaced
    Given a connection on which nothing arrives
    When a call is made and 10 seconds pass
    Then the call fails as peer_lost
    And the next call succeeds on a new connection

  Scenario: A silent connection is closed whatever its TCP_USER_TIMEOUT is
    Given a connection on which nothing arrives
    And all sockets have keep-alive probes and a TCP_USER_TIMEOUT of 60 seconds
    When a call is made and 4 seconds pass
    Then the call fails as peer_lost
    And the next call succeeds on a new connection

  Scenario: A frame that takes longer than the limit of silence ends its connection
    When a frame of an authenticated peer takes 6 seconds
    Then the peer receives a frame at least every 1.5 seconds, and the reply

  Scenario: Closing a stream early stops its handler
    When a reader closes a stream early
    Then the handler is stopped

  Scenario Outline: An error keeps its type between VMs
    When a handler fails with <code>
    Then the error arrives as <code> with run <run>

    Examples:
      | code              | run     |
      | not_leader        | not_run |
      | revision_conflict | not_run |
      | backend_refused   | not_run |
      | overloaded        | not_run |
      | outcome_unknown   | unknown |
      | internal_error    | unknown |

  Scenario Outline: A message without a reply
    When a message is sent to <method> without a reply
    Then the other VM has received it <count> times and sent nothing back

    Examples:
      | method                    | count |
      | a method                  | 1     |
      | a method that fails       | 1     |
      | a method that never waits | 1     |
      | such a method that fails  | 1     |
      | an unknown method         | 0     |

  Scenario: A message that is posted before there is a connection
    When a message is posted without a connection
    Then the other VM receives it once, and a later one at once

  Scenario: A message that is posted to a VM that is down
    When a message is posted to a VM that is down
    Then the sender goes on
