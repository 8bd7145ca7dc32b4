Feature: The platform's documents are decoded and validated
  Configurations, instance lists, settings files and headers of the platform
  are decoded into the gateway's own types.

  Scenario Outline: A wrong configuration is rejected with all its problems
    When a configuration is decoded whose <part> is <value>
    Then it is rejected with <count> problems, one of them at "<path>"

    Examples:
      | part           | value            | count | path                  |
      | text           | cut short        | 1     | not JSON              |
      | text           | a list           | 1     | not an object         |
      | version        | missing          | 1     | version               |
      | version        | a string         | 1     | version               |
      | routes         | missing          | 1     | routes                |
      | services       | missing          | 2     | services              |
      | service        | unknown          | 1     | routes[0].service     |
      | split          | of weight 0      | 1     | routes[0].trafficSplit |
      | split          | to unknown       | 1     | routes[0].service     |
      | timeout        | 0                | 1     | routes[0].timeoutMs   |
      | timeout        | a string         | 2     | routes[0].timeoutMs   |
      | kind           | unknown          | 1     | routes[0].kind        |
      | prefix         | no final slash   | 1     | routes[0].pathPrefix  |
      | route          | duplicate        | 1     | routes[1]             |
      | key            | of two tenants   | 1     | tenants[1].apiKeys    |
      | tenant         | duplicate        | 1     | tenants[1].name       |
      | limits         | a string         | 1     | limits                |

  Scenario Outline: The longest matching path prefix selects the route
    Given routes for /a/, /a/b/ and /c/d/ of host h.example
    Then host <host> and path <path> select <route>

    Examples:
      | host      | path     | route   |
      | h.example | /a/x     | /a/     |
      | h.example | /a/b/x   | /a/b/   |
      | h.example | /a/b     | /a/     |
      | h.example | /a       | none    |
      | h.example | /c/x     | none    |
      | h.example | /c/d/    | /c/d/   |
      | other     | /a/x     | none    |

  Scenario: Invalid entries of the instance list are skipped
    When an instance list with valid and invalid entries is decoded
    Then it has the valid instances, with the right ones leaving and cold

  Scenario: All wrong values of a settings file are reported at once
    When the platform's settings have 3 wrong values
    Then all 3 are reported with their names and valid values

  Scenario: Unknown settings are ignored
    When the platform's settings have an unknown field
    Then the other settings are read

  Scenario Outline: An error's status tells whether the request may have run
    Then a <error> with run <run> is sent with status <status>

    Examples:
      | error               | run     | status |
      | OverloadedError     | not_run | 503    |
      | RateLimitError      | not_run | 429    |
      | BackendError        | unknown | 502    |
      | BackendTimeoutError | unknown | 504    |
      | BackendConnectError | not_run | 503    |
      | BackendRefusedError | not_run | 503    |
      | PeerLostError       | unknown | 502    |
      | PeerUnreachableError | not_run | 503   |
      | PeerUnresponsiveError | unknown | 502  |
      | AuthenticationError | not_run | 401    |
      | NotFoundError       | not_run | 404    |

  Scenario: A client cannot set the gateway's headers
    When a client sends headers of the gateway and hop-by-hop headers
    Then the backend server gets only the gateway's values of them

  Scenario Outline: The request limit of a backend server is decoded
    When a backend server responds with status <status>, id <id> and <headers>
    Then its request limit is <limit>

    Examples:
      | status | id  | headers             | limit     |
      | 200    | r-1 | Server-Limit: 1.6   | 1.6       |
      | 503    | -   | server-limit: 12    | 12        |
      | 429    | r-1 | Server-Limit: 0     | 0         |
      | 200    | r-1 | Retry-After: 3      | none      |
      | 200    | r-2 | Server-Limit: 1.6   | not known |
      | 421    | r-1 | Server-Limit: 1.6   | not known |
      | 200    | r-1 | Server-Limit: few   | not known |
      | 200    | r-1 | Server-Limit: -1    | not known |
      | 200    | r-1 | Server-Limit: nan   | not known |
      | 200    | r-1 | Server-Limit: inf   | not known |

  Scenario Outline: What a backend server says of itself is decoded
    When a backend server responds with status <status>, id <id> and <headers>
    Then it is <leaving>, and wants no requests for <pause> seconds

    Examples:
      | status | id  | headers                                  | leaving | pause |
      | 200    | r-1 | Server-Leaving: 1                        | leaving | 0     |
      | 500    | r-1 | server-leaving: 1                        | leaving | 0     |
      | 503    | -   | Server-Leaving: 1, Retry-After: 2        | leaving | 2     |
      | 200    | r-1 | Server-Leaving: 0                        | staying | 0     |
      | 421    | r-1 | Server-Leaving: 1                        | staying | 0     |
      | 200    | r-2 | Server-Leaving: 1                        | staying | 0     |
      | 503    | r-1 | Retry-After: 0.4                         | staying | 0.4   |
      | 503    | r-2 | Retry-After: 0.4                         | staying | 0     |
      | 200    | r-1 | Retry-After: 3                           | staying | 0     |
      | 429    | r-1 | Retry-After: 3                           | staying | 0     |
      | 503    | r-1 | Retry-After: soon                        | staying | 0     |
      | 503    | r-1 | Retry-After: nan                         | staying | 0     |
      | 503    | r-1 | Retry-After: inf                         | staying | 0     |
      | 503    | r-1 | Retry-After: -1                          | staying | 0     |

  Scenario Outline: A response of a backend server is checked
    When a backend server responds with status <status> and <headers>
    Then the result is <result>

    Examples:
      | status | headers                  | result               |
      | 200    | id and stamp             | passed on            |
      | 500    | id and stamp             | passed on            |
      | 200    | another id               | BackendError         |
      | 200    | no stamp                 | BackendStatusError   |
      | 503    | id and stamp             | BackendStatusError   |
      | 429    | id and stamp             | BackendStatusError   |
      | 503    | a not-executed header    | BackendRefusedError  |
      | 421    | id and stamp             | WrongInstanceError   |
      | 503    | a rejection of another id | BackendError        |
      | 421    | a rejection of another id | BackendError        |
