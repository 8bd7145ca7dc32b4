Feature: The platform's documents are decoded, and refused when wrong
  What the platform sends is decoded once, into the product's own types.

  Scenario Outline: A wrong configuration is refused with all that is wrong
    When a configuration comes whose <part> is <value>
    Then the configuration is refused with <count> problems naming "<path>"

    Examples:
      | part           | value            | count | path                  |
      | text           | cut short        | 1     | not JSON              |
      | text           | a list           | 1     | not an object         |
      | version        | missing          | 1     | version               |
      | version        | a text           | 1     | version               |
      | routes         | missing          | 1     | routes                |
      | services       | missing          | 2     | services              |
      | service        | unknown          | 1     | routes[0].service     |
      | split          | of weight 0      | 1     | routes[0].trafficSplit |
      | split          | to unknown       | 1     | routes[0].service     |
      | timeout        | 0                | 1     | routes[0].timeoutMs   |
      | timeout        | a text           | 2     | routes[0].timeoutMs   |
      | kind           | unknown          | 1     | routes[0].kind        |
      | prefix         | without a slash  | 1     | routes[0].pathPrefix  |
      | route          | there twice      | 1     | routes[1]             |
      | key            | of two tenants   | 1     | tenants[1].apiKeys    |
      | tenant         | there twice      | 1     | tenants[1].name       |
      | limits         | a text           | 1     | limits                |

  Scenario Outline: The longest prefix that begins a path selects the route
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

  Scenario: Entries of the instance list that cannot be read name nothing
    When an instance list comes with broken entries among good ones
    Then only the good instances are known, and the leaving one is leaving

  Scenario: A settings file tells everything that is wrong at once
    When the platform's settings have 3 wrong values
    Then all 3 are told with their names and what is allowed

  Scenario: Unknown settings are left alone
    When the platform's settings have a field that nobody knows
    Then the settings are read

  Scenario Outline: What a failure says of the run, its status promises
    Then a failure <error> that <run> is told with status <status>

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

  Scenario: A caller cannot set what the gateway sets
    When a caller sends headers of the gateway and of one connection
    Then the backend server gets only the gateway's own

  Scenario Outline: An answer of a backend server is checked
    When a backend server answers <status> with <what>
    Then the answer is <verdict>

    Examples:
      | status | what                     | verdict              |
      | 200    | id and signature         | passed on            |
      | 500    | id and signature         | passed on            |
      | 200    | another id               | BackendError         |
      | 200    | no signature             | BackendStatusError   |
      | 503    | id and signature         | BackendStatusError   |
      | 429    | id and signature         | BackendStatusError   |
      | 503    | a word that it ran not   | BackendRefusedError  |
      | 421    | id and signature         | WrongInstanceError   |
