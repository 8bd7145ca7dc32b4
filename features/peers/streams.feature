Feature: Streams between VMs
  An authenticated connection carries many streams, and none of them holds
  up the others.

  Background:
    Given two VMs, one of which can be dialled

  Scenario Outline: What is not a peer is turned away
    When <intruder> connects to the peer listener
    Then the connection is closed
    And a true peer is still served

    Examples:
      | intruder                                |
      | a client that sends bytes of no protocol |
      | a frame that claims 4 GiB               |
      | a frame just over the limit             |
      | a frame that is not msgpack             |
      | a frame of an unknown kind              |
      | a frame of wrong shape                  |
      | a peer of another version               |
      | a peer with another secret              |
      | a peer of another deployment            |
      | a VM that is no peer                    |
      | a peer that skips the proof             |
      | a peer that repeats a recorded proof    |

  Scenario Outline: A dialled VM that is not the one wanted is refused
    When a VM dials a listener that <fault>
    Then the call fails as <code> and not run

    Examples:
      | fault                   | code             |
      | is closed               | peer_unreachable |
      | has another secret      | peer_authentication |
      | has another version     | peer_version     |
      | has another name        | peer_authentication |
      | says nothing            | peer_unreachable |

  Scenario: A slow reader does not stall another stream
    When a stream of 2 MiB is not read
    Then another stream of 2 MiB arrives whole
    And the sender of the first holds at most its credit

  Scenario: A sender that ignores its credit is cut off
    When a peer sends more than its credit
    Then the connection is lost and a new one works

  Scenario: A call whose answer does not come ends in time
    When a call is not answered and 5 seconds pass
    Then the call fails as peer_timeout

  Scenario: A silent connection is found and a new one used
    Given the connection has gone silent
    When a call is made and 10 seconds pass
    Then the call fails as peer_lost
    And the next call is answered on a new connection

  Scenario: A stream that its reader leaves is stopped at the other end
    When a reader leaves a stream
    Then the writer is stopped

  Scenario Outline: An error keeps its type on the way
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

  Scenario Outline: A message without an answer
    When a message is sent for <what> without an answer
    Then the other VM has got <count> of it, and nothing came back

    Examples:
      | what                  | count |
      | a method              | 1     |
      | a method that fails   | 1     |
      | a method that is none | 0     |
