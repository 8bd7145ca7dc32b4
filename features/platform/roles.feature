Feature: The roles serve as processes
  Control VMs and an entry VM run as processes on loopback addresses, with
  settings files of the platform and with stand-ins for its instance list and
  for a backend server.

  Scenario: A configuration is accepted, a request is served, a stop is clean
    Given 3 control VMs and an entry VM run as processes
    When an operator sends a configuration
    Then the entry VM is ready, and lookups return it
    And a request through the entry VM gets the backend server's response
    And a request with an unknown key is rejected with 401
    And the metrics of both roles are served
    When the entry VM gets SIGHUP under load and its settings change
    Then every request got its response, and the settings were read at once
    When the entry VM gets SIGTERM
    Then it is no longer ready and exits with code 0

  Scenario: SIGHUP does not end a process that starts or stops
    Given 3 control VMs and an entry VM run as processes
    When each of them gets SIGHUP from its imports on
    Then all of them are ready
    When the entry VM gets SIGTERM and then SIGHUP
    Then it is no longer ready and exits with code 0

  Scenario Outline: A first start on a full disk does not end the process
    Given a disk without space for <what>
    When a data folder is opened there, and there is space after 0.5 seconds
    Then the folder is open within 1 second, and the log has the reason once

    Examples:
      | what       |
      | the folder |
      | the lock   |
