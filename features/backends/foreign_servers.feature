Feature: Backend servers that misbehave towards whole processes
  Their responses are cut, reset, invalid or without end. The processes have
  the memory that their settings state.

  Scenario Outline: A client takes the response of a server that misbehaves for whole
    A client of HTTP/1.0 cannot tell a cut body without a length from a whole
    one.

    Given entry VMs with 296 MB whose backend servers misbehave, but one
    When a client of HTTP/<version> sends each server requests at the <vm> VM
    Then no client gets a whole response of a server that misbehaves
    And each gets an error or a cut response before its deadline
    And each server is used again once it is sound

    Examples:
      | version | vm         |
      | 1.1     | home       |
      | 1.0     | home       |
      | 1.1     | forwarding |
      | 1.0     | forwarding |

  Scenario Outline: Responses without end take the memory or the time of other requests
    Given entry VMs with 128 MB whose backend servers misbehave, but one
    When 20 clients of HTTP/<version> that <reading> send requests to each server without end at the <vm> VM
    Then 10 ordinary requests are answered, while the crowd stays
    And an ordinary request is answered, while the crowd stays and after
    And no process has used more than its memory and descriptors

    Examples:
      | version | reading      | vm         |
      | 1.1     | read         | home       |
      | 1.1     | read nothing | home       |
      | 1.0     | read         | home       |
      | 1.1     | read         | forwarding |
      | 1.1     | read nothing | forwarding |
      | 1.0     | read         | forwarding |

  Scenario Outline: A list of instances without end hides those known before
    Given entry VMs with 128 MB whose backend servers misbehave, but one
    When the list of instances is a <what> without end for 5 s
    Then the instances known before are used
    And no process has used more than its memory and descriptors

    Examples:
      | what                          |
      | head                          |
      | series of informational heads |
      | body                          |
      | body in chunks                |
