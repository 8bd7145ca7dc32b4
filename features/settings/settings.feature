Feature: Settings files are validated as a whole
  All problems of a file are reported at once, each with its path, the value
  that was found and what is allowed.

  Scenario Outline: The example settings files are valid
    When the settings file examples/<file> is loaded
    Then it has <vms> VMs and <backends> backend servers

    Examples:
      | file                   | vms | backends |
      | guild-piedmont-1.yaml  | 7   | 8        |
      | academy-muscat-1.yaml  | 9   | 9        |

  Scenario: The example table is valid
    Then the table examples/table.csv is valid for the Guild's regions

  Scenario Outline: An invalid settings file is rejected
    When a settings file has <fault>
    Then it is rejected with an error that contains <expected>

    Examples:
      | fault                            | expected                            |
      | text that is not YAML            | is not valid YAML                   |
      | a list in place of a mapping     | must be a mapping                   |
      | nothing in it                    | must be a mapping                   |
      | an unknown key                   | colour                              |
      | an unknown key in a section      | limits.colour                       |
      | no deployment                    | deployment                          |
      | no peers                         | peers                               |
      | a port of 70000                  | callers.port 70000                  |
      | a host name for an address       | callers.host                        |
      | a VM that is not a peer          | vm:                                 |
      | two peers with the same name     | piedmont-1                          |
      | a disk without a data folder     | data_folder                         |
      | a data folder without a disk     | data_folder                         |
      | no disk at all                   | disk                                |
      | a server in an unknown region    | backend_servers.0.region atlantis   |
      | two servers with the same name   | judge                               |
      | a URL without a scheme           | backend_servers.0.url               |
      | a timeout of -1                  | timeouts.body_seconds -1            |
      | a timeout of text                | timeouts.body_seconds soon          |
      | a short secret                   | peer_secret                         |
      | a token in place of its digest   | operator_token_sha256.0             |
      | four problems                    | colour callers.port vm peer_secret  |

  Scenario: The error does not show the secret
    When a settings file has a short secret
    Then the error does not contain the secret

  Scenario: A file that cannot be read is rejected
    When the settings file examples/none.yaml is loaded
    Then it is rejected with an error that contains cannot
