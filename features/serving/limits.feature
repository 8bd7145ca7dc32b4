Feature: Request limits of backend servers
  A backend server in need names in its responses how many requests a second it
  takes from all VMs together. The real dispatchers with emulated engines, in
  fake time; each VM gets as many requests as the others.

  @known_red
  Scenario Outline: A server gets no more requests than the limit that it named
    Given region a with <vms> entry VMs and <engines> engines
    When <limited> engines name a limit of <limit> a second and <rate> requests a second come for 12 seconds
    Then each of them gets at most one and a half times its limit and 5 requests in any 4 seconds
    And each of them gets at least half of its limit over all

    Examples:
      | vms | engines | limited | limit | rate |
      | 3   | 3       | 1       | 1.6   | 20   |
      | 2   | 1       | 1       | 2.3   | 20   |
      | 3   | 3       | 3       | 1.2   | 20   |
      | 12  | 3       | 2       | 1.2   | 20   |
      | 1   | 2       | 1       | 0.3   | 20   |
      | 40  | 6       | 3       | 4     | 60   |
