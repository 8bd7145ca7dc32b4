Feature: Connections to backend servers that are in use again
  The platform's HTTP client on real sockets, with a backend server that sends
  bytes which belong to no request.

  Scenario Outline: No request gets a late second copy of another's response
    Given a backend server that sends a second copy of each response <time>
    When 30 requests follow one another, each after <pause> seconds
    Then each gets its own response, or an error that does not say not run

    Examples:
      | time                             | pause |
      | at once                          | 0.0   |
      | at once                          | 0.01  |
      | in the same write                | 0.0   |
      | 0.02 seconds later               | 0.0   |
      | 0.02 seconds later               | 0.05  |
      | after it got the next request    | 0.0   |

  Scenario: A server without such copies keeps its connection
    Given a backend server that sends no second copies
    When 30 requests follow one another, each after 0.0 seconds
    Then each gets its own response
    And the server accepted 1 connection

  Scenario: A request that may run only once gets a connection of its own
    Given a backend server that sends no second copies
    When 3 requests that may run only once follow one another, then 3 others
    Then each gets its own response
    And the server accepted 3 connections

  Scenario: A read of a response that has stalled ends when it is overdue
    Given a backend server that stalls after the first chunk of a response
    When its body is read with a stall timeout of 0.2 seconds
    Then the first chunk is read, and the next read ends within 1 second

  Scenario Outline: Only an orderly close may end a body without a length
    Given a backend server whose response has <framing> and ends by <ending>
    When its body is read
    Then the body is <result>

    Examples:
      | framing               | ending           | result                           |
      | its whole length      | an orderly close | complete, and not ended by close |
      | all of its chunks     | an orderly close | complete, and not ended by close |
      | no length and chunks  | an orderly close | complete, and ended by close     |
      | no length and chunks  | a reset          | broken                           |
      | a length too long     | an orderly close | broken                           |
      | chunks without an end | an orderly close | broken                           |

  Scenario Outline: A response that breaks off does not look complete
    Given an entry VM whose response <ending> after its first chunk
    When a client of HTTP/<version> reads it to the end of the connection
    Then the client has <result>

    Examples:
      | version | ending     | result                         |
      | 1.1     | breaks off | a body without its last chunk  |
      | 1.0     | breaks off | an error instead of the body   |
      | 1.1     | is whole   | the whole body in chunks       |
      | 1.0     | is whole   | the whole body with its length |

  Scenario Outline: Bytes without end are not read without limit
    Given a server that sends a <part> without end
    When <reader> reads from it
    Then the read fails and the server was cut off within <limit> MiB

    Examples:
      | part                          | reader                    | limit |
      | head                          | the platform's client     | 2     |
      | head                          | the instance list         | 2     |
      | slow head                     | the instance list         | 2     |
      | series of informational heads | the instance list         | 2     |
      | body                          | the instance list         | 6     |
      | body in chunks                | the instance list         | 6     |
      | head                          | the poll of a load report | 2     |
      | series of informational heads | the poll of a load report | 2     |
      | body                          | the poll of a load report | 2     |
      | body in chunks                | the poll of a load report | 2     |

  Scenario Outline: A load report without end ends the polls or replaces the last one
    Given a server that sends a <part> without end
    When its load is polled after a report that it is leaving
    Then the last report stays in force, and the poll ended within 2.5 s

    Examples:
      | part                          |
      | slow head                     |
      | series of informational heads |
      | body in chunks                |

  Scenario: The kernel gives up no connection before its keep-alive probes do
    If TCP_USER_TIMEOUT is set, it decides when a connection is given up, and
    not the count of the probes. Libraries may set it.

    When connections to servers, between VMs and from clients are open
    Then their TCP_USER_TIMEOUT is at least the time that their probes take

  Scenario Outline: A body in chunks is read however it arrives
    A chunk that is lost, repeated or cut would break the client's stream.

    Given a response with the chunks <chunks>
    When its bytes arrive in pieces of every size
    Then each time the body is whole and the connection may be reused

    Examples:
      | chunks                                |
      | 5 hello, 6 world!                     |
      | 2 \r\n, 4 \r\n\r\n, 1 a               |
      | 0a;name=value 0123456789, 1A ABCDEFGHIJKLMNOPQRSTUVWXYZ |
      | 11 1\r\nx\r\n0\r\n\r\nyzabcd, 3 end   |

  Scenario Outline: An idle connection is kept until shortly before its server closes it
    A VM of a large region sends to each server only every few seconds: most of
    its requests would need a new connection.

    Given connections to a server that closes idle ones after <closes> s
    When requests are <pause> s apart
    Then <new> of 10 requests have a new connection
    And at most 2 connections are idle for more than 3 s

    Examples:
      | closes | pause | new |
      | 60.0   | 2.0   | 1   |
      | 60.0   | 10.0  | 1   |
      | 60.0   | 16.0  | 10  |
      | 5.0    | 4.5   | 9   |
      | 8.0    | 6.0   | 1   |
