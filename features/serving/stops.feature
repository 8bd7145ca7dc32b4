Feature: Planned stop of an entry VM
  Requests that cannot be expected to end before the VM does are rejected at
  once as not run; what is left at the end is reported as what it is.

  Scenario Outline: A request is taken during a stop only if alike ones end in time
    Given 1 region with 2 engines and 1 entry VM
    And calls that took <usual> seconds before
    When VM a0 stops within <drain> seconds, and a call arrives after <after> seconds
    Then the call is <outcome>

    Examples:
      | usual | drain | after | outcome                   |
      | 0.1   | 7.2   | 0.5   | served                    |
      | 0.1   | 7.2   | 4.9   | served                    |
      | 0.1   | 7.2   | 5.1   | rejected at once, not run |
      | 3.0   | 7.2   | 3.0   | served                    |
      | 3.0   | 7.2   | 4.8   | rejected at once, not run |
      | 3.5   | 2.2   | 0.1   | rejected at once, not run |
      | 0.1   | 2.2   | 1.4   | served                    |
      | 0.1   | 2.2   | 1.7   | rejected at once, not run |
      | 3.5   | 29.2  | 4.5   | served                    |

  Scenario Outline: A stream is taken during a stop only if alike ones end in time
    Given 1 region with 2 engines and 1 entry VM
    And streams of <events> events before
    When VM a0 stops within <drain> seconds, and a stream arrives after <after> seconds
    Then the call is <outcome>

    Examples:
      | events | drain | after | outcome                   |
      | 20     | 7.2   | 2.5   | served                    |
      | 20     | 7.2   | 2.9   | rejected at once, not run |
      | 300    | 7.2   | 0.2   | served                    |
      | 300    | 4.2   | 1.5   | rejected at once, not run |

  Scenario Outline: Requests that are left at the end of a stop are reported as what they are
    Given 1 region with 2 engines and 1 entry VM
    When VM a0 stops within 2.2 seconds while <request>
    Then the request ends with the stop, with <error>
    And the log has the taken, rejected and cut requests, with their ages

    Examples:
      | request                                  | error                      |
      | a server works on a request              | 502 and an unknown outcome |
      | a request waits for its quota            | 503 and not run            |
      | a server sends a stream                  | a truncated response       |

  Scenario: A forwarded request that would not end in time runs at another VM
    Given region a without servers, and region b with 2 engines and 2 entry VMs
    And calls that took 3.0 seconds before
    When the VM that runs them stops within 2.2 seconds, and 6 calls arrive at VM a0
    Then all calls are served, and the stopped VM takes none of them

  Scenario: A stream goes on when the VM stops that had taken it from another one
    Given region a with 1 engine, and region b with 2 engines and 2 entry VMs
    And a resumable route with 5 attempts
    When a stream of 200 events begins at VM a0, which loses its servers
    And the VM that goes on with it stops
    Then the stream is complete
