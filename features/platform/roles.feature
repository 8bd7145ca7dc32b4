Feature: The roles start as processes, and serve
  Control VMs and an entry VM run as processes on loopback, with the
  platform's settings files, before a stand-in of its instance list and of a
  backend server.

  Scenario: A configuration is accepted, a request is served, a stop is clean
    Given 3 control VMs and an entry VM run as processes
    When an operator sends a configuration
    Then the entry VM is ready, and look-ups name it
    And a request through the entry VM is answered by the backend server
    And a request without a key is refused with 401
    And the metrics of both roles are served
    When the entry VM gets SIGTERM
    Then it is not ready any more, and ends with code 0
