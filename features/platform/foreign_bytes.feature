Feature: No bytes from outside end a process or a task
  Whatever another system sends, a reader raises a declared error or returns a
  value that can be used, sent on and stored.

  Scenario Outline: Odd values only cause declared errors
    When <reader> gets odd values in many places
    Then it raises no other error, and what it accepts can be used

    Examples:
      | reader                                    |
      | the instance list                         |
      | the desired state                         |
      | the headers of a backend server           |
      | the load report of a backend server       |
      | the load reports of another VM            |
      | the settings file of the platform         |
      | the settings in YAML                      |
      | the table in CSV                          |
      | an inference request                      |
      | the head of a client's request            |
      | the name of another VM                    |
      | a frame of another VM                     |
      | the handshake of a VM that dials          |
      | the handshake of a VM that was dialled    |
      | an error of another VM                    |
      | the reply to a poll                       |
      | a heartbeat                               |
      | a report of retries                       |
      | the notices of servers                    |
      | a request for grants of tokens            |
      | grants of tokens                          |
      | a report of the end of a server           |
      | a report of backlogs                      |
      | a forwarded request                       |
      | the usage of an engine                    |

  Scenario Outline: A connection with odd bytes ends alone
    Given two connected VMs
    When a connection sends <bytes> to one of them
    Then the other one is served as before

    Examples:
      | bytes                                     |
      | a version nested 990 levels deep          |
      | a deployment nested 990 levels deep       |
      | a frame nested 100,000 levels deep        |
      | a frame of 4 GiB                          |
      | a kind that is a map                      |

  Scenario: A second stream with the ID of the first ends one connection only
    Given two connected VMs
    When one VM opens two streams with the same ID
    Then the other one is served as before

  Scenario Outline: The settings in YAML are rejected with a problem
    When settings in YAML are read that are <text>
    Then they are rejected as settings

    Examples:
      | text                        |
      | nested 100,000 levels deep  |
      | a date that does not exist  |
      | a million references        |
      | a key that is a list        |

  Scenario Outline: A desired state that cannot be kept is rejected
    When a desired state is sent whose <part> is <value>
    Then it is rejected with a status of a client's error

    Examples:
      | part      | value                     |
      | text      | nested 2,000 levels deep  |
      | text      | not UTF-8                 |
      | version   | 2**63                     |
      | version   | 2**64                     |
      | version   | 1e30                      |
      | version   | NaN                       |
      | kind      | a list                    |
      | service   | nested 900 levels deep    |
      | size      | too large for a message   |

  Scenario Outline: A request with an odd head ends alone
    Given a server for clients
    When a client sends a request with <head>
    Then the next request is served

    Examples:
      | head                                  |
      | bytes that are not ASCII in its path  |
      | escapes that are not UTF-8            |
      | a broken address as its target        |
      | a content length of letters           |
      | a negative content length             |
      | a content length of 5,000 digits      |
      | two content lengths                   |
      | an unknown transfer encoding          |
      | a chunk of a size without limit       |
      | bytes that are not UTF-8 in a header  |
      | a null byte in a header               |
      | settings of HTTP/2 that are no base64 |
      | a key of a web socket that is no text |
      | frames of HTTP/2 without sense        |
      | no method                             |
      | a record of TLS                       |
