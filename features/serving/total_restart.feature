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

  Scenario Outline: The retry budget holds over a restart of all entry VMs
    Given 1 region with 4 engines and 1 entry VM
    And a safe route with 4 attempts
    When all servers fail for 20 seconds under 10 requests a second, and all entry VMs restart after <seconds>
    Then in any 10 seconds at most 70 retries were sent

    Examples:
      | seconds |
      | 1       |
      | 5       |
      | 9       |

  Scenario: Without a record of earlier retries, a VM uses no slack at first
    Given 1 region with 4 engines and 1 entry VM
    And a safe route with 4 attempts
    When the control VMs are of a release that records no retries
    And all servers fail for 20 seconds under 10 requests a second, and all entry VMs restart after 5
    Then in the 10 seconds after the restart at most 20 retries were sent

  Scenario Outline: Control VMs keep the retry budget of entry VMs that end
    Each VM retries as often as its budget allows, with 10 requests a second.

    Given a fleet of 5 control VMs and 4 entry VMs
    When after <used> seconds <which> entry VMs are lost for <lost> seconds, <event>
    Then in any 10 seconds at most 50 retries and 0.2 for each request were made
    And all slack was used again in the end

    Examples:
      | which | used | lost | event                         |
      | all   | 2    | 0.3  | and nothing else              |
      | all   | 5    | 0.3  | and nothing else              |
      | all   | 5    | 4    | and nothing else              |
      | all   | 5    | 0.3  | and come with other addresses |
      | two   | 5    | 0.3  | and nothing else              |

  Scenario: Control VMs that restart too allow no slack at first
    Given a fleet of 5 control VMs and 4 entry VMs
    When after 5 seconds all entry VMs are lost for 0.3 seconds, with all control VMs
    Then in the 10 seconds after the loss at most 0.2 retries for each request were made
    And in any 10 seconds after the loss at most 50 retries and 0.2 for each request were made
    And all slack was used again in the end

  Scenario: A fleet that starts for the first time may use its slack at once
    Given a fleet of 5 control VMs and 4 entry VMs
    When its first configuration is stored and all requests of 3 seconds fail
    Then at least 50 retries were made

  Scenario: Control VMs return what servers asked for to VMs that restart
    Given a fleet of 5 control VMs and 4 entry VMs
    When e1 reports that a server leaves and another wants a pause, and all entry VMs restart
    Then all entry VMs know of the departure, and e1 alone of the pause
