Feature: Request limits of backend servers
  A backend server in need names in its responses how many requests a second it
  takes from all VMs together. The real dispatchers with emulated engines, in
  fake time; each VM gets as many requests as the others.

  Scenario Outline: A server gets no more requests than the limit that it named
    Given region a with <vms> entry VMs and <engines> engines
    When <limited> engines name a limit of <limit> a second and <rate> requests a second come for 12 seconds
    Then each of them gets at most one and a half times its limit and 5 requests in any 4 seconds
    And 95 percent of the requests since are on time

    Examples:
      | vms | engines | limited | limit | rate |
      | 3   | 3       | 1       | 1.6   | 20   |
      | 12  | 3       | 2       | 1.2   | 20   |
      | 1   | 2       | 1       | 0.3   | 20   |
      | 40  | 6       | 3       | 4     | 60   |

  Scenario Outline: Servers that all named a limit are used up to it
    Given region a with <vms> entry VMs and <engines> engines
    When <engines> engines name a limit of <limit> a second and 20 requests a second come for 12 seconds
    Then each of them gets at most one and a half times its limit and 5 requests in any 4 seconds
    And each of them gets at least <percent> percent of its limit over all
    And those that are rejected are told when to come back

    Examples:
      | vms | engines | limit | percent |
      | 1   | 1       | 2.3   | 80      |
      | 2   | 1       | 2.3   | 80      |
      | 3   | 3       | 1.2   | 80      |
      | 12  | 3       | 1.2   | 30      |
      | 2   | 2       | 0     | 0       |

  Scenario Outline: A VM knows the limits that others have heard
    Given region a with 3 entry VMs and 1 engines
    When 1 engines name a limit of 1 a second and 20 requests a second come for 5 seconds
    And <event> at the limited engine
    Then VM a2 holds a limit of <limit> for the engine
    And each of them gets at most one and a half times its limit and 5 requests in any 4 seconds

    Examples:
      | event                                           | limit |
      | VM a2 restarts                                  | 1     |
      | VM a2 restarts and can reach no other VM        | 1     |
      | the engine changes its limit to 2               | 2     |
      | the engine takes its limit back                 | none  |
      | a response to an earlier request arrives at a0  | 1     |
      | another run of the engine starts                | none  |

  Scenario: All of a server's requests count against its limit
    Given region a with 2 entry VMs and 2 engines
    When 2 engines name a limit of 1.5 a second and streams that break off come 6 times a second for 10 seconds
    Then each of them gets at most one and a half times its limit and 5 requests in any 4 seconds

  Scenario Outline: Malformed limits are an error of their sender
    Given region a with 2 entry VMs and 1 engines
    When VM a0 gets <message> as limits
    Then the limits are a protocol error of their sender

    Examples:
      | message                |
      | null                   |
      | [["i-1"]]              |
      | [["i-1", "x", 1, 1]]   |
      | [["i-1", 0, "x", 1]]   |
      | [["i-1", 0, -1, 1]]    |
      | [["i-1", 0, 1, "NaN"]] |
