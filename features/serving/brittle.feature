Feature: Brittle backend servers
  A brittle server crashes if it has to reject more requests in a second than
  it says in its responses. The VMs of a region divide its slots among
  themselves, and share that limit. The real dispatchers with
  emulated engines, in fake time.

  Scenario Outline: Servers that say that they are brittle do not crash
    Given region a with <vms> entry VMs and <servers> brittle servers with 6 slots
    When they say that they can reject <limit> requests a second, and <factor> times their capacity is asked for 12 seconds
    Then at most 2 and a tenth of the servers crash from 5 seconds on
    And at least <percent> percent of their capacity is used

    Examples:
      | vms | servers | limit | factor | percent |
      | 1   | 3       | 3     | 2.0    | 70      |
      | 7   | 3       | 3     | 2.0    | 70      |
      | 4   | 3       | 3     | 2.0    | 70      |
      | 12  | 6       | 2     | 1.5    | 70      |
      | 30  | 6       | 4     | 3.0    | 70      |

  Scenario Outline: The slots of brittle servers are divided evenly
    Given <vms> VMs that divide the 6 slots of each of <servers> brittle servers
    When <event>
    Then at each moment of the next 2 seconds at most 6 requests run at each server
    And after that no VM has 2 slots more than another

    Examples:
      | vms | servers | event           |
      | 4   | 3       | nothing changes |
      | 30  | 6       | nothing changes |
      | 30  | 6       | a server ends   |
      | 30  | 6       | 3 VMs leave     |
      | 12  | 6       | a server starts |

  Scenario: A server that is not brittle any more gets requests as before
    Given region a with 3 entry VMs and 3 brittle servers with 6 slots
    When they say that they can reject 3 requests a second, and 2 times their capacity is asked for 5 seconds
    And they say that they are not brittle any more, and 0.8 times their capacity is asked for 5 seconds
    Then no VM takes a server for brittle

  Scenario Outline: A VM learns of brittle servers from other VMs
    Given region a with 3 entry VMs and 1 brittle servers with 6 slots
    When VM a0 hears that a server can reject 3 requests a second
    And <event>
    Then VM a2 takes the server for brittle

    Examples:
      | event            |
      | 0.2 seconds pass |
      | VM a2 has restarted and 6 seconds pass |
