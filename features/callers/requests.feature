@deployment
Feature: Callers' requests over HTTP
  A caller gets the complete response to its own request, or an error that
  gives the cause and whether the request was run.

  Scenario Outline: A valid request gets its response
    When a caller sends a <kind> request through <vm>
    Then the answer is whole and has status <status>
    And the backend servers received it once

    Examples:
      | kind          | vm         | status |
      | chat          | piedmont-1 | 200    |
      | streamed chat | piedmont-1 | 200    |
      | completion    | piedmont-2 | 200    |
      | streamed chat | coastal-1  | 200    |
      | plain         | piedmont-2 | 201    |
      | plain         | coastal-1  | 201    |

  Scenario Outline: A text completion returns its text
    When a caller sends a <kind> request through piedmont-2
    Then the answer is whole and has status 200
    And each of its choices has a text and no message

    Examples:
      | kind                |
      | completion          |
      | streamed completion |

  Scenario Outline: An invalid request is rejected and not run
    When a caller sends a request with <fault>
    Then the error is <code> with status <status> and run not_run
    And the backend servers received nothing

    Examples: bodies
      | fault                     | code            | status |
      | malformed JSON            | bad_request     | 400    |
      | a body that is a list     | bad_request     | 400    |
      | no messages               | bad_request     | 400    |
      | messages of text          | bad_request     | 400    |
      | no model                  | bad_request     | 400    |
      | an unknown model          | model_not_found | 404    |
      | max_tokens of 0           | bad_request     | 400    |
      | max_tokens of text        | bad_request     | 400    |
      | max_tokens over the limit | bad_request     | 400    |
      | stream of text            | bad_request     | 400    |
      | a body over the limit     | body_too_large  | 413    |
      | a chunked body too long   | body_too_large  | 413    |
      | tokens over the burst     | over_burst      | 400    |

    Examples: keys
      | fault                   | code           | status |
      | no key                  | invalid_key    | 401    |
      | a wrong key             | invalid_key    | 401    |
      | a key of wrong form     | invalid_key    | 401    |
      | a withdrawn key         | key_withdrawn  | 401    |
      | two different keys      | bad_request    | 400    |
      | its key in the body     | key_in_request | 400    |
      | its key escaped in JSON | key_in_request | 400    |
      | its key in the query    | key_in_request | 400    |
      | its key in the path     | key_in_request | 400    |

    Examples: paths
      | fault                    | code               | status |
      | an unknown path          | not_found          | 404    |
      | an unknown service       | unknown_service    | 404    |
      | a model as a service     | unknown_service    | 404    |
      | a wrong method           | method_not_allowed | 405    |
      | Via of this deployment   | loop_detected      | 508    |
      | a service that has ended | service_ended      | 410    |
      | a bad idempotency key    | bad_request        | 400    |

  Scenario Outline: Malformed HTTP is rejected and does not affect other callers
    When a caller sends the bytes of <content>
    Then the connection is answered with <status> or closed
    And the backend servers received nothing
    And another caller is served

    Examples:
      | content                        | status |
      | two different lengths          | 400    |
      | a length and chunked encoding  | 400    |
      | a length of text               | 400    |
      | an unknown transfer encoding   | 501    |
      | a chunk size that is no number | 400    |
      | a header line without a name   | 400    |
      | a head over the limit          | 431    |
      | a head that never ends         | 408    |
      | a body that never ends         | 408    |
      | bytes that are not HTTP        | 400    |

  Scenario: The key does not reach a backend server in any header
    When a caller sends its key in headers that are forwarded
    Then the answer is whole and has status 201
    And no backend server received a key

  Scenario: A withdrawn key is rejected on a connection that is still open
    Given a caller with an open connection that served a request
    When its key is withdrawn
    Then its next request on that connection is rejected as key_withdrawn

  Scenario: A caller that disconnects cancels its request
    Given the engines are slow
    When a caller disconnects in the middle of a stream
    Then the engine stops the request and its slot is free

  Scenario: A caller that does not read its response does not delay another
    When a caller requests a long stream and does not read it
    Then another caller is served

  Scenario: The entry list has the VMs that accept callers, best first
    When a caller of coastal requests the entry list from piedmont-1
    Then the first of the 4 entries is in coastal

  Scenario: A limit on requests in flight is enforced
    Given the engines are slow
    When an organisation with a limit of 1 sends 2 requests at once
    Then one is served and the other is rejected as rate_limit_exceeded

  Scenario: An organisation over its rate is rejected at once
    Given the engines are slow
    When an organisation of 30 tokens a second sends 3 concurrent requests for 2000 tokens
    Then at most 1 is served, and the others are rejected as rate_limit_exceeded with Retry-After
    And the rejections took less than 1 second
