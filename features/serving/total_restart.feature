Feature: State that only entry VMs hold, when all of them restart
  What is lost with the memory of all entry VMs at once must not break a bound
  of the fleet: limits that servers named, the retry budget, quota grants.

  Scenario: A server's limit holds over a restart of all entry VMs
    Given region a with 3 entry VMs and 3 engines
    When 1 engines name a limit of 1.6 a second and 20 requests a second come for 6 seconds
    And all VMs restart
    And 20 requests a second come for 8 seconds after the restart
    Then each of them gets at most one and a half times its limit and 5 requests in any 4 seconds

  Scenario: An organisation's rate holds over a restart of all entry VMs
    Given a fleet of 5 control VMs and 4 entry VMs
    And an organisation of 10000 tokens a second with a burst of 10000
    When all entry VMs restart after each 4 of 20 seconds in which 40000 tokens a second are requested
    Then in every 8 seconds at most 90000 tokens were granted

  @known_red
  Scenario: The retry budget holds over a restart of all entry VMs
    Given 1 region with 4 engines and 1 entry VM
    And a safe route with 4 attempts
    When all servers fail for 20 seconds under 10 requests a second, and all entry VMs restart after 5
    Then in any 10 seconds at most 70 retries were sent
