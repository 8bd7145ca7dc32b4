Feature: The command-line interface
  Exit codes identify the kind of failure; messages say what went wrong.

  Scenario Outline: A command reports its outcome by exit code and message
    When greengagegw is called with <arguments>
    Then it exits with <code> and prints <text>

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
  Scenario: The commands for operators work on a deployment
    Then table get, diff and put work, and put rejects an invalid file with 3
    And put with an old revision exits with 4
    And an issued key is accepted and listed, and rejected once withdrawn
    And status lists every VM
    And report burn prints text and JSON, and writes samples and a page

  Scenario: Burn rates are computed from samples
    Given samples of two VMs over two hours, one of which was restarted
    Then the highest burn rate comes first, with its values in both windows
