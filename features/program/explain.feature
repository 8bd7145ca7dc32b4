Feature: What became of a request, told from logs
  The logs are lines of two entry VMs from a played day; the last line of the
  first one was cut off.

  Scenario: A request's story over two VMs
    When the recorded logs are explained with --request 23e231effd384193
    Then it exits with 0 and says 1 lines could not be read
    And its rows are in this order
      | source               | line              |
      | front-piedmont-a-2   | request:planned   |
      | front-piedmont-a-2   | request:forwarded |
      | front-blue-ridge-a-2 | request:placed    |
      | front-piedmont-a-2   | request:placed    |
      | front-piedmont-a-2   | request:failed    |
      | front-piedmont-a-2   | request:ended     |

  Scenario: What a VM came to believe shortly before is told too
    When the recorded logs are explained with --request 23e231effd384193
    Then it exits with 0 and says configuration:in_force
    And no row is more than 5 seconds before the request

  Scenario Outline: Summaries and mistakes
    When the recorded logs are explained with <options>
    Then it exits with <code> and says <text>

    Examples:
      | options              | code | text                                        |
      | --refused            | 0    | 1  overloaded       tivoNa would begin      |
      | --slow               | 0    | 1 began late                                |
      | --slow               | 0    | 1.552 s  objective 1.200  predicted 1.258   |
      | --request none       | 1    | no log line has the request id none         |
      | --slow --refused     | 2    | give exactly one of                         |

  Scenario: Standard input with the names of VMs
    When the recorded logs come on standard input behind their VMs' names
    Then it exits with 0 and says front-blue-ridge-a-2 request:placed
