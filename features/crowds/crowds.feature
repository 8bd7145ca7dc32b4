Feature: Clients that do not behave exhaust no process
  The processes of the system run on loopback addresses with a body limit of
  1 MiB, on machines whose memory and descriptors their settings state. The
  clients of a crowd stay connected. All of this depends on no times.

  Scenario Outline: A crowd at an entry VM does not exhaust its memory
    Given VMs of the platform with 128 MB and 4100 descriptors
    When <count> clients send <requests> to <listener>
    Then an ordinary request is answered, while the crowd stays and after
    And the process has stayed within its memory and descriptors
    And no request that was rejected as not run was run

    Examples: Bodies that do not end
      | count | requests                              | listener                  |
      | 150   | unfinished bodies                     | the clients               |
      | 150   | unfinished bodies in pieces           | the clients               |
      | 150   | unfinished bodies in large chunks     | the clients               |
      | 300   | unfinished bodies in chunks of a byte | the clients               |
      | 150   | unfinished bodies                     | the clients without a key |
      | 150   | unfinished bodies in large chunks     | the clients without a key |

    Examples: Whole bodies
      | count | requests                              | listener                  |
      | 400   | whole bodies                          | the clients               |
      | 400   | whole bodies in large chunks          | the clients               |
      | 400   | whole bodies                          | the clients without a key |

    Examples: Heads and connections
      | count | requests                              | listener                  |
      | 2500  | unfinished heads                      | the clients               |
      | 2500  | unfinished heads                      | the readiness probe       |
      | 2500  | unfinished heads                      | the metrics               |
      | 300   | further requests behind the first     | the clients               |

  Scenario: Whole bodies that wait for a backend server do not exhaust memory
    Given VMs of the platform with 128 MB and 4100 descriptors
    And a backend server that keeps large requests waiting
    When 150 clients send whole bodies to the clients
    Then an ordinary request is answered, while the crowd stays and after
    And the process has stayed within its memory and descriptors
    And no request that was rejected as not run was run

  Scenario: Two kinds of crowds at once do not exhaust memory
    Given VMs of the platform with 128 MB and 4100 descriptors
    When at once 100 clients send unfinished bodies and 1500 send unfinished heads to the clients
    Then an ordinary request is answered, while the crowd stays and after
    And the process has stayed within its memory and descriptors

  Scenario: A second crowd after the first does not exhaust memory
    Given VMs of the platform with 128 MB and 4100 descriptors
    When 150 clients send unfinished bodies to the clients
    And the crowd leaves
    And 150 clients send unfinished bodies in large chunks to the clients
    Then an ordinary request is answered, while the crowd stays and after
    And the process has stayed within its memory and descriptors

  Scenario Outline: Responses that nobody reads do not exhaust memory
    Given VMs of the platform with 128 MB and 4100 descriptors
    And a backend server with responses of 1000000 bytes
    And ordinary requests that go to another backend server
    When 900 clients that read nothing send whole small bodies to <listener>
    Then an ordinary request is answered, while the crowd stays and after
    And the process has stayed within its memory and descriptors

    Examples:
      | listener                |
      | the clients             |
      | the clients in HTTP/1.0 |

  Scenario Outline: A crowd at a control VM does not exhaust its memory
    Given VMs of the platform with 128 MB and 4100 descriptors
    When <count> clients send <requests> to <listener>
    Then an ordinary request is answered, while the crowd stays and after
    And the process has stayed within its memory and descriptors

    Examples:
      | count | requests                              | listener      |
      | 150   | unfinished bodies                     | the operators |
      | 150   | unfinished bodies in pieces           | the operators |
      | 150   | unfinished bodies in large chunks     | the operators |
      | 300   | unfinished bodies in chunks of a byte | the operators |
      | 400   | whole bodies                          | the operators |
      | 250   | whole bodies of many values           | the operators |
      | 2500  | unfinished heads                      | the operators |
      | 2500  | unfinished heads                      | the lookups   |

  Scenario: A large configuration that nobody reads does not exhaust memory
    Given VMs of the platform with 128 MB and 4100 descriptors
    And a configuration of many routes
    When 300 clients that read nothing send no bodies to the readers of the configuration
    Then an ordinary request is answered, while the crowd stays and after
    And the process has stayed within its memory and descriptors

  Scenario Outline: Peers that do not authenticate do not exhaust memory
    Given VMs of the platform with 128 MB and 4100 descriptors
    When 60 clients send unfinished frames to <listener>
    Then an ordinary request is answered, while the crowd stays and after
    And the process has stayed within its memory and descriptors

    Examples:
      | listener               |
      | the entry VM's peers   |
      | the control VM's peers |

  Scenario Outline: Connections do not use up the descriptors of a process
    Given VMs of the platform with 296 MB and 400 descriptors
    When 600 clients send <requests> to <listener>
    Then an ordinary request is answered, while the crowd stays and after
    And the process has stayed within its memory and descriptors

    Examples:
      | requests          | listener            |
      | no requests       | the clients         |
      | no requests       | the readiness probe |
      | no requests       | the metrics         |
      | no requests       | the operators       |
      | no requests       | the lookups         |
      | no requests       | the entry VM's peers |
      | unfinished heads  | the clients         |
      | unfinished bodies | the clients         |
      | unfinished bodies | the readiness probe |
      | unfinished bodies | the metrics         |
      | unfinished bodies | the lookups         |

  Scenario Outline: Clients that connect again and again keep others from being served
    Given VMs of the platform with 296 MB and 400 descriptors
    When 600 clients that connect again send <requests> to <listener>
    Then 5 ordinary requests are answered, while the crowd stays
    And an ordinary request is answered, while the crowd stays and after
    And the process has stayed within its memory and descriptors

    Examples:
      | requests         | listener            |
      | no requests      | the clients         |
      | unfinished heads | the clients         |
      | no requests      | the readiness probe |
      | no requests      | the operators       |

  Scenario Outline: Requests whose body nothing reads leave no descriptors
    Given VMs of the platform with 296 MB and 4100 descriptors
    When 600 clients send unfinished bodies to <listener>
    And the crowd leaves
    Then an ordinary request is answered, while the crowd stays and after
    And at most 100 descriptors are open

    Examples:
      | listener    |
      | the metrics |
      | the lookups |

  Scenario Outline: A crowd does not exhaust a VM of the own interface
    Given a VM of its own interface with 160 MB and 4100 descriptors
    When <count> clients send <requests> to <listener>
    Then an ordinary request is answered, while the crowd stays and after
    And the process has stayed within its memory and descriptors

    Examples:
      | count | requests                              | listener                      |
      | 150   | unfinished bodies                     | its clients                   |
      | 150   | unfinished bodies in pieces           | its clients                   |
      | 150   | unfinished bodies in large chunks     | its clients                   |
      | 300   | unfinished bodies in chunks of a byte | its clients                   |
      | 250   | whole bodies                          | its clients                   |
      | 400   | whole bodies                          | its clients without a key     |
      | 3000  | unfinished heads                      | its clients                   |
      | 150   | unfinished bodies                     | its operators                 |
      | 150   | unfinished bodies                     | its operators without a token |

  Scenario: Connections do not use up the descriptors of the own interface
    Given a VM of its own interface with 296 MB and 400 descriptors
    When 600 clients send no requests to its clients
    Then an ordinary request is answered, while the crowd stays and after
    And the process has stayed within its memory and descriptors

  Scenario Outline: A single large request is served in calm
    Given <vms> with <memory> MB and 4100 descriptors
    When a single client sends a body of <kind>
    Then it is answered with <status>

    Examples:
      | vms                       | memory | kind                                  | status |
      | VMs of the platform       | 128    | the greatest size                     | 200    |
      | VMs of the platform       | 128    | the greatest size in chunks of 64 KiB | 200    |
      | VMs of the platform       | 128    | 64 KiB in chunks of a byte            | 200    |
      | VMs of the platform       | 128    | the greatest size over four seconds   | 200    |
      | a VM of its own interface | 160    | the greatest size                     | 201    |
      | a VM of its own interface | 160    | the greatest size in chunks of 64 KiB | 201    |
      | a VM of its own interface | 160    | 64 KiB in chunks of a byte            | 201    |
      | a VM of its own interface | 160    | the greatest size over four seconds   | 201    |
