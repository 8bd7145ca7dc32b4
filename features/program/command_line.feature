Feature: The command line
  Exit codes tell the kind of failure, and messages what to do.

  Scenario Outline: A command that fails says how
    When greengagegw is called with <arguments>
    Then it exits with <code> and says <text>

    Examples:
      | arguments                                       | code | text           |
      | version                                         | 0    | 0.1.0          |
      | version --output json                           | 0    | {"version"     |
      | --help                                          | 0    | Exit codes     |
      | check examples/guild-piedmont-1.yaml            | 0    | 1 files        |
      | check examples/none.yaml                        | 2    | cannot be read |
      | serve --settings examples/none.yaml             | 2    | cannot be read |
      | nonsense                                        | 2    | No such command |
      | table get --url http://127.0.0.1:9 --token x    | 5    | cannot be reached |
      | report burn                                     | 2    | give --url     |

  @deployment
  Scenario: An operator's day
    Then table get, diff and put work, and put refuses a wrong file with 3
    And put with an old revision exits with 4
    And a key that was given serves, is listed, and is refused when withdrawn
    And status tells of every VM
    And report burn gives text, JSON and a page from the metrics

  Scenario: Burn is computed from samples
    Given samples of two VMs over two hours, one of which was restarted
    Then the worst organisation comes first with its burn in both windows
