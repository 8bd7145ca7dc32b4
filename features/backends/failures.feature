@deployment
Feature: Backend servers that fail
  Only what may be repeated is tried again, only before the first byte, and
  what is said of the run is true.

  Scenario Outline: A failing engine is passed over
    Given one engine of piedmont fails with <fault>
    When a caller sends 4 chat requests
    Then all are answered with 200

    Examples:
      | fault     |
      | 429       |
      | 503       |
      | 500       |
      | reset     |
      | garbage   |
      | crossed   |
      | cut       |
      | silent    |
      | no_report |

  Scenario Outline: When every engine fails, the error tells what is known
    Given every engine fails with <fault>
    When a caller sends a chat request
    Then the error is <code> with status <status> and run <run>

    Examples:
      | fault   | code            | status | run     |
      | 429     | backend_refused | 503    | not_run |
      | 503     | backend_refused | 503    | not_run |
      | 500     | backend_status  | 502    | unknown |
      | reset   | backend_error   | 502    | unknown |
      | garbage | backend_error   | 502    | unknown |
      | crossed | backend_error   | 502    | unknown |
      | silent  | backend_timeout | 504    | unknown |
      | cut     | stream_broken   | 502    | unknown |

  Scenario Outline: A stream that breaks is resumed where it broke
    Given every engine breaks its next stream with <fault>
    When a caller sends a streamed chat request
    Then the streamed answer is the same as an unbroken one
    And no engine started it twice

    Examples:
      | fault     |
      | cut       |
      | early_end |
      | hang      |

  Scenario Outline: A stream that cannot be resumed ends with an error event
    Given the engines do not resume
    And every engine breaks its next stream with <fault>
    When a caller sends a streamed chat request
    Then the stream ends with an error event <code> and run ran

    Examples:
      | fault     | code            |
      | cut       | stream_broken   |
      | early_end | stream_broken   |
      | hang      | backend_timeout |

  Scenario Outline: A call that may not be repeated is sent once
    Given every plain service fails with <fault>
    When a caller sends a registration
    Then the registration is answered with <code> and run <run>
    And it ran <times> times

    Examples:
      | fault        | code            | run     | times |
      | reset_before | backend_error   | unknown | 0     |
      | reset_after  | backend_error   | unknown | 1     |
      | silent       | backend_timeout | unknown | 1     |
      | not_run      | backend_refused | not_run | 0     |

  Scenario: A plain service's own answer of failure is passed on
    Given every plain service fails with 503
    When a caller sends a registration
    Then the answer is whole and has status 503

  Scenario Outline: A leaving engine gets no new work
    Given one engine of piedmont says it is leaving
    When a caller sends 6 chat requests through <vm>
    Then all are answered with 200
    And the leaving engine received none of them

    Examples:
      | vm         |
      | piedmont-1 |
      | piedmont-2 |

  Scenario: An ejected engine leaves the others in use
    Given every engine fails with 500
    When a caller sends 12 chat requests
    And the engines work again
    And a caller sends 4 chat requests
    Then the last 4 are answered with 200

  Scenario: Load reports that stop in the middle leave nothing behind
    Given every engine fails with report_stops
    When each VM has asked each backend server 2 times in vain
    And the engines work again
    Then every VM knows each load again
    And it has one connection for polls to each backend server
