Feature: Requests that crash backend servers
  A request that crashes each server that begins to run it, and that is sent
  again and again with the same path, caller and body, is held back by all VMs.
  The real dispatchers with emulated servers, in fake time: three regions with
  three servers of plain requests and five engines, seven entry VMs, and sound
  requests beside.

  Scenario Outline: A request under which three servers ended reaches no more servers
    Given the servers of three regions
    When a crashing <kind> request comes <rate> times a second for 30 seconds
    Then at most 3 of them reach a server later than 5 seconds after the third crash
    And just the crashing request is held back
    And 90 percent of the other requests of the last 10 seconds are answered

    Examples:
      | kind       | rate |
      | safe       | 0.5  |
      | safe       | 2    |
      | safe       | 10   |
      | unsafe     | 0.5  |
      | unsafe     | 2    |
      | unsafe     | 10   |
      | generation | 0.5  |
      | generation | 2    |
      | generation | 10   |

  Scenario Outline: Ordinary crashes do not hold back requests that many send
    Given the servers of three regions
    When the same lookup comes <rate> times a second for 20 seconds while <crashes>
    Then nothing is held back

    Examples:
      | rate | crashes                                            |
      | 8    | a server crashes every 2 seconds                   |
      | 40   | a server crashes every 2 seconds                   |
      | 8    | all servers crash at once every 5 seconds          |
      | 40   | all servers crash at once every 5 seconds          |
      | 8    | all servers crash one after the other, 0.3 s apart |
      | 40   | servers are replaced every 2 seconds               |

  Scenario: A lookup that is not found is sound
    Given the servers of three regions, which answer with status 404
    When the same lookup comes 8 times a second for 20 seconds while a server crashes every 2 seconds
    Then nothing is held back

  Scenario Outline: Ends and holds of plain requests last
    Given the servers of three regions
    When <event> after 2 crashes under a safe request
    And a crashing safe request comes 2 times a second for 15 seconds
    Then at most 6 servers have crashed
    And just the crashing request is held back

    Examples:
      | event                            |
      | another control VM leads         |
      | no control VM leads for 1 second |

  Scenario: A held request is rejected as not run, without its body
    Given the servers of three regions
    When a crashing safe request comes 2 times a second for 12 seconds
    And a VM of an earlier release forwards the request
    Then it is rejected as not run, and the hold tells neither its body nor its key
    And the same path and body of another organisation are not held back

  Scenario: A request that runs in the end is not held back
    Given the servers of three regions
    When a crashing safe request comes 2 times a second until 2 servers have crashed
    And the request no longer crashes servers
    And a crashing safe request comes 2 times a second for 5 seconds
    And the request crashes servers again
    And a crashing safe request comes 2 times a second until 4 servers have crashed
    Then nothing is held back

  Scenario: Many requests that each end one server are forgotten in their order
    Given the servers of three regions
    When 10000 different requests each end one server
    Then at most 100 ends are remembered and nothing is held back
