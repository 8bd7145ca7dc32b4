@deployment
Feature: Backend servers that fail
  Only repeatable calls are retried, only before the first byte of the
  response, and errors report truthfully whether the call was run.

  Scenario Outline: A failing engine is skipped
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

  Scenario: Calls of a VM that has lost its engines run through other VMs of its region
    Given piedmont-2 reaches no engine
    When a caller sends 6 chat requests
    Then all are answered with 200
    And engines of piedmont alone have run them, each once

  Scenario Outline: When every engine fails, the error says what is known of the run
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
    Then the streamed response is the same as an uninterrupted one
    And no engine started the request twice

    Examples:
      | fault     |
      | cut       |
      | early_end |
      | hang      |

  Scenario Outline: A stream that cannot be resumed ends with an error event
    Given the engines do not support resuming
    And every engine breaks its next stream with <fault>
    When a caller sends a streamed chat request
    Then the stream ends with an error event <code> and run ran

    Examples:
      | fault      | code            |
      | cut        | stream_broken   |
      | early_end  | stream_broken   |
      | quoted_end | stream_broken   |
      | hang       | backend_timeout |

  Scenario Outline: A stream does not go on with what is no part of it
    Given every engine breaks its next stream with <fault>
    When a caller sends a streamed chat request
    Then the stream ends with an error event <code> and run ran
    And the stream has nothing of the server's error

    Examples:
      | fault          | code          |
      | error_head     | foreign_bytes |
      | cut_then_error | stream_broken |

  Scenario: A stream is not resumed by another software version
    Given every engine breaks its next stream with upgrade
    When a caller sends a streamed chat request
    Then the stream ends with an error event stream_broken and run ran

  Scenario Outline: A call that may not be repeated is not retried
    Given every plain service fails with <fault>
    When a caller sends a registration
    Then the error of the registration is <code> with run <run>
    And the registration ran <times> times

    Examples:
      | fault        | code            | run     | times |
      | reset_before | backend_error   | unknown | 0     |
      | reset_after  | backend_error   | unknown | 1     |
      | silent       | backend_timeout | unknown | 1     |
      | not_run      | backend_refused | not_run | 0     |

  Scenario: An error response of a plain service is forwarded
    Given every plain service fails with 503
    When a caller sends a registration
    Then the answer is whole and has status 503

  Scenario Outline: A leaving engine gets no new requests
    Given one engine of piedmont reports that it is leaving
    When a caller sends 6 chat requests through <vm>
    Then all are answered with 200
    And the leaving engine received none of them

    Examples:
      | vm         |
      | piedmont-1 |
      | piedmont-2 |

  Scenario: Ejections do not take all engines out of use
    Given every engine fails with 500
    When a caller sends 12 chat requests
    And the engines work again
    And a caller sends 4 chat requests
    Then the last 4 are answered with 200

  Scenario: Load reports that break off do not leak connections
    Given every engine fails with report_stops
    When each VM has polled each backend server 2 times without success
    And the engines work again
    Then every VM has a new load report of each backend server
    And it has at most one polling connection to each backend server
