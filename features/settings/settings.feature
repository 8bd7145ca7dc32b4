Feature: Settings are checked as a whole
  Every problem of a file is reported at once, with its place, what was
  found and what is allowed.

  Scenario Outline: The examples are right
    When the settings file examples/<file> is loaded
    Then it has <vms> VMs and <backends> backend servers

    Examples:
      | file                   | vms | backends |
      | guild-piedmont-1.yaml  | 7   | 8        |
      | academy-muscat-1.yaml  | 9   | 9        |

  Scenario: The example of a table is right
    Then the table examples/table.csv is right for the Guild's regions

  Scenario Outline: A wrong file is refused
    When a settings file has <fault>
    Then it is refused naming <places>

    Examples:
      | fault                            | places                              |
      | text that is not YAML            | is not YAML                         |
      | a list in place of a mapping     | must be a mapping                   |
      | nothing in it                    | must be a mapping                   |
      | an unknown key                   | colour                              |
      | an unknown key deep inside       | limits.colour                       |
      | no deployment                    | deployment                          |
      | no peers                         | peers                               |
      | a port of 70000                  | callers.port 70000                  |
      | a host name for an address       | callers.host                        |
      | a VM that is no peer             | vm:                                 |
      | two peers of one name            | piedmont-1                          |
      | a disk without a data folder     | data_folder                         |
      | a data folder without a disk     | data_folder                         |
      | no disk at all                   | disk                                |
      | a backend server of no region    | backend_servers.0.region atlantis   |
      | two backend servers of one name  | judge                               |
      | a URL that is none               | backend_servers.0.url               |
      | a timeout of -1                  | timeouts.body_seconds -1            |
      | a timeout of text                | timeouts.body_seconds soon          |
      | a short secret                   | peer_secret                         |
      | a token in place of its digest   | operator_token_sha256.0             |
      | four problems                    | colour callers.port vm peer_secret  |

  Scenario: A secret is not repeated in a report
    When a settings file has a short secret
    Then the report does not show the secret

  Scenario: A file that cannot be read is refused
    When the settings file examples/none.yaml is loaded
    Then it is refused naming cannot
