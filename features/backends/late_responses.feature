Feature: Late responses of backend servers of our own interface
  A server may respond twice, the second time late. No call gets the response
  to another one, and only its own response states that it was not run.

  Scenario Outline: A late copy counts for no other call
    Given an engine that writes <copy>, <moment>
    When repeatable and other calls follow one another there
    Then each call gets its own response, or an error of unknown outcome
    And the dropped responses are logged and counted if any call failed

    Examples:
      | copy                              | moment                       |
      | the earlier response              | behind a complete response   |
      | the earlier response              | while the connection is idle |
      | the earlier response              | before the next response     |
      | a rejection without an ID         | behind a complete response   |
      | a rejection without an ID         | while the connection is idle |
      | a rejection without an ID         | before the next response     |
      | a mark of not run without an ID   | behind a complete response   |
      | a mark of not run without an ID   | before the next response     |
      | a response without an ID          | behind a complete response   |
      | a response without an ID          | before the next response     |

  Scenario: Two calls with the same ID never share a connection
    Given an engine that writes the earlier response, before the next response
    When 4 calls with the same ID and other bodies follow one another there
    Then each call gets its own response, or an error of unknown outcome
    And no call failed

  Scenario Outline: Connections are kept to servers that return request IDs
    Given an engine that writes <copy>, never
    When 6 repeatable calls follow one another there
    Then no call failed
    And the engine accepted <count> connections

    Examples: The first call has a connection of its own
      | copy                 | count |
      | the earlier response | 2     |
      | no IDs               | 6     |

  Scenario Outline: A late load report counts for no other poll
    Otherwise each report would be that of the poll before.

    Given an engine that writes <copy>, <moment>
    When its load is polled 6 times
    Then each poll gets its own report, or fails
    And at most 1 poll fails

    Examples:
      | copy                 | moment                       |
      | the earlier response | behind a complete response   |
      | the earlier response | while the connection is idle |
      | the earlier response | before the next response     |
      | no IDs               | never                        |
      | reports without IDs  | behind a complete response   |
      | reports without IDs  | before the next response     |

  Scenario Outline: Polls use one connection if the server returns their IDs
    Given an engine that writes <copy>, never
    When its load is polled 6 times
    Then each poll gets its own report, or fails
    And the engine accepted <count> connections

    Examples:
      | copy                 | count |
      | the earlier response | 1     |
      | no IDs               | 6     |

  Scenario: The rejection of a call on a new connection needs no ID
    Given an engine that rejects all calls without an ID
    When 3 calls that may not be repeated follow one another there
    Then each call is reported as not run
