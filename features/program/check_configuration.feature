Feature: A configuration is validated before it is sent
  A configuration that is accepted takes effect on all VMs within seconds. What
  is valid but not intended would otherwise be noticed by callers.

  Scenario: A configuration without findings
    Given a configuration of the platform
    When it is checked
    Then nothing is printed, with exit code 0

  Scenario Outline: Errors are printed with their place
    Given a configuration of the platform whose <part> is <value>
    When it is checked
    Then it exits with 2 and prints <text>

    Examples:
      | part  | value    | text                             |
      | file  | missing  | does not exist                   |
      | file  | no JSON  | not JSON                         |
      | route | {"timeoutMs": 0} | routes[0].timeoutMs: must be     |
      | route | {"kind": "odd"}  | routes[0].kind: must be          |

  Scenario Outline: Entries without effect and limits that contradict are warnings
    Given a configuration of the platform whose <part> is <value>
    When it is checked
    Then it exits with 1 and prints <text>

    Examples:
      | part         | value                              | text                              |
      | route        | {"pathPrefix": "/chat?a=1/"}       | never matches                     |
      | route        | {"host": "h.example:80"}           | never matches                     |
      | route        | {"targetLatencyMs": 90000}         | exceeds the timeout               |
      | route        | {"kind": "unsafe", "resumable": true, "maxAttempts": 1} | only streams are resumed |
      | route        | {"kind": "unsafe", "resumable": false, "maxAttempts": 3} | may run only once |
      | route        | {"service": "desk"}                | service engine: gets no requests  |
      | route        | {"trafficSplit": [{"service": "desk", "weight": 1}, {"service": "engine", "weight": 0}]} | whose weight is 0 |
      | service      | {"coldStartS": 0}                  | requests a second for 0 s         |
      | organisation | {"apiKeys": []}                    | has no key                        |
      | organisation | {"ratePerS": 10, "burst": 100}     | less than the 200 that            |
      | organisation | {"ratePerS": 10, "burst": 0, "unit": ""} | less than the 1 that        |
      | organisation | {"homeRegions": ["c"]}             | no home region in common          |

  Scenario: What differs from the version in force
    Given a configuration of the platform
    And another one in force, with other keys, routes and timeouts
    When it is checked against that one
    Then it exits with 1 and prints version: 1 is not higher than the 2 in force
    And each difference is printed, but no key
