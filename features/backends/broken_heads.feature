Feature: Backend servers that stop in the middle of a response
  A server closes its connection after any number of bytes of a response. The
  response must not look like a whole one that is empty or short.

  Scenario Outline: A response that ends at any of its bytes is not taken for whole
    Given a backend server of the <interface> interface whose response has HTTP/<version> and <framing>
    When it closes after each number of bytes of its response to a <method> on a <connection> connection
    Then no caller gets a response, but a whole one or a body that an orderly close ended

    Examples:
      | interface | version | framing                              | method | connection |
      | platform  | 1.1     | a length                             | GET    | new        |
      | platform  | 1.1     | a length                             | GET    | kept       |
      | platform  | 1.1     | a length                             | POST   | new        |
      | platform  | 1.1     | chunks                               | GET    | new        |
      | platform  | 1.1     | chunks                               | GET    | kept       |
      | platform  | 1.1     | chunks                               | POST   | new        |
      | platform  | 1.1     | a length behind an informational head | GET   | new        |
      | platform  | 1.1     | a length behind an informational head | POST  | new        |
      | platform  | 1.1     | no length                            | GET    | new        |
      | platform  | 1.0     | a length                             | GET    | new        |
      | platform  | 1.0     | no length                            | POST   | new        |
      | own       | 1.1     | a length                             | GET    | new        |
      | own       | 1.1     | a length                             | GET    | kept       |
      | own       | 1.1     | chunks                               | POST   | new        |
      | own       | 1.1     | chunks                               | GET    | kept       |
      | own       | 1.1     | a length behind an informational head | POST  | new        |
      | own       | 1.1     | no length                            | GET    | new        |
      | own       | 1.0     | a length                             | POST   | new        |
      | own       | 1.0     | no length                            | GET    | new        |

  Scenario Outline: A head that lost a line is not taken for that of another response
    Given a backend server of the <interface> interface whose response has HTTP/1.1 and <framing>
    When it leaves out each line of the head of its response to a <method>
    Then no caller gets a response, but a whole one or a body that an orderly close ended

    Examples:
      | interface | framing  | method |
      | platform  | a length | GET    |
      | platform  | a length | POST   |
      | platform  | chunks   | GET    |
      | own       | a length | GET    |
      | own       | chunks   | POST   |

  Scenario Outline: A status that HTTP does not have is passed on to the caller
    Given a backend server of the <interface> interface whose response has HTTP/1.1 and a length
    When its response to a <method> has each of the statuses 000, 042, 099, 600, 999 and 1000
    Then no caller gets a response

    Examples:
      | interface | method |
      | platform  | GET    |
      | platform  | POST   |
      | own       | GET    |
      | own       | POST   |

  Scenario Outline: A server sends <what> without end, and its caller waits for the deadline
    Given a backend server of the <interface> interface whose response has HTTP/1.1 and a length
    When it sends <what> without end as the response to a <method>
    Then no caller gets a response, and each gets an error within 1 s

    Examples:
      | interface | what                    | method |
      | platform  | informational responses | GET    |
      | platform  | informational responses | POST   |
      | platform  | header lines            | GET    |
      | platform  | one header line         | POST   |
      | platform  | bytes of no response    | GET    |
      | own       | informational responses | GET    |
      | own       | informational responses | POST   |
      | own       | header lines            | GET    |
      | own       | one header line         | POST   |
      | own       | bytes of no response    | GET    |

  Scenario Outline: A few informational responses cost a caller its response
    Given a backend server of the <interface> interface whose response has HTTP/1.1 and a length
    When it sends <count> informational responses before its response
    Then each caller gets the whole response

    Examples:
      | interface | count |
      | platform  | 16    |
      | own       | 16    |

  Scenario Outline: A part of a response that was reset during the upload is taken for whole
    Given a backend server of the <interface> interface whose response has HTTP/1.1 and <framing>
    When it sends a part of its response and resets the connection during an upload of <size> bytes
    Then no caller gets a response

    Examples:
      | interface | framing   | size    |
      | platform  | no length | 3000000 |
      | platform  | no length | 7       |
      | platform  | chunks    | 3000000 |
      | own       | no length | 3000000 |
      | own       | no length | 7       |
      | own       | chunks    | 3000000 |

  Scenario Outline: A body without end is kept while its caller reads nothing
    Given a backend server of the <interface> interface whose response has HTTP/1.1 and <framing>
    When it sends a body without end to a caller that reads nothing for 1 s
    Then it could send less than a tenth of the 300 MB of a VM

    Examples:
      | interface | framing   |
      | platform  | no length |
      | platform  | chunks    |
      | own       | no length |
      | own       | chunks    |
