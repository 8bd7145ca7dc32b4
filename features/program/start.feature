Feature: The start of a process of the platform
  Imports took most of the CPU time of a process's start, and a fifth of that of
  a fleet's first seconds.

  Scenario Outline: A role imports only what it uses
    When the role <role> is imported
    Then <unused> are not imported
    And garbage is collected again, but not that of the imports

    Examples:
      | role    | unused                                                    |
      | entry   | h2.connection wsproto httpx greengagegw.fleet.control     |
      | control | h2.connection wsproto httpx greengagegw.serving.dispatcher |

  Scenario Outline: A protocol that the gateway does not speak is refused
    When a client of an imported role uses <protocol>
    Then the server answers with <answer>

    Examples:
      | protocol           | answer       |
      | HTTP/2             | HTTP/1.1 505 |
      | an upgrade to h2c  | HTTP/1.1 404 |
      | WebSocket          | HTTP/1.1 403 |

  Scenario: An unchanged settings file is decoded once
    Given a settings file of the platform
    When it is read 3 times, changed without changing its length, and read
    Then it was decoded 2 times and the change is in force
