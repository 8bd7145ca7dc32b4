Feature: Explaining requests from logs
  The logs come from two entry VMs in a simulated day; the last line of the
  first log is truncated.

  Scenario: The timeline of a request over two VMs
    When the recorded logs are explained with --request 23e231effd384193
    Then it exits with 0 and prints 1 lines could not be read
    And its rows are in this order
      | source               | event             |
      | front-piedmont-a-2   | request:planned   |
      | front-piedmont-a-2   | request:forwarded |
      | front-blue-ridge-a-2 | request:placed    |
      | front-piedmont-a-2   | request:placed    |
      | front-piedmont-a-2   | request:failed    |
      | front-piedmont-a-2   | request:ended     |

  Scenario: The timeline includes recent state changes of the VM
    When the recorded logs are explained with --request 23e231effd384193
    Then it exits with 0 and prints configuration:in_force
    And no row is more than 5 seconds before the request

  Scenario Outline: Summaries and usage errors
    When the recorded logs are explained with <options>
    Then it exits with <code> and prints <text>

    Examples:
      | options              | code | text                                        |
      | --refused            | 0    | 1  overloaded       tivoNa would begin      |
      | --slow               | 0    | 1 began late                                |
      | --slow               | 0    | 1.552 s  objective 1.200  predicted 1.258   |
      | --request none       | 1    | no log line has the request id none         |
      | --slow --refused     | 2    | give exactly one of                         |

  Scenario: Logs on standard input with the names of VMs
    When the recorded logs are piped in with names of VMs as prefixes
    Then it exits with 0 and prints front-blue-ridge-a-2 request:placed
