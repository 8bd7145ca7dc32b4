@deployment
Feature: Callers' requests over HTTP
  A caller gets the whole answer to its own request, or an error that says
  why and whether the request was run.

  Scenario Outline: A good request gets its answer
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

  Scenario Outline: A text completion comes back with its text
    When a caller sends a <kind> request through piedmont-2
    Then the answer is whole and has status 200
    And each of its choices has a text and no message

    Examples:
      | kind                |
      | completion          |
      | streamed completion |

  Scenario Outline: A bad request is refused and not run
    When a caller sends a request with <fault>
    Then the error is <code> with status <status> and run not_run
    And the backend servers received nothing

    Examples: bodies
      | fault                   | code            | status |
      | malformed JSON          | bad_request     | 400    |
      | a body that is a list   | bad_request     | 400    |
      | no messages             | bad_request     | 400    |
      | messages of text        | bad_request     | 400    |
      | no model                | bad_request     | 400    |
      | an unknown model        | model_not_found | 404    |
      | max_tokens of 0         | bad_request     | 400    |
      | max_tokens of text      | bad_request     | 400    |
      | max_tokens beyond all   | bad_request     | 400    |
      | stream of text          | bad_request     | 400    |
      | a body over the limit   | body_too_large  | 413    |
      | a chunked body too long | body_too_large  | 413    |
      | tokens over the burst   | over_burst      | 400    |

    Examples: keys
      | fault                     | code           | status |
      | no key                    | invalid_key    | 401    |
      | a wrong key               | invalid_key    | 401    |
      | a key of wrong form       | invalid_key    | 401    |
      | a withdrawn key           | key_withdrawn  | 401    |
      | two different keys        | bad_request    | 400    |
      | its key in the body       | key_in_request | 400    |
      | its key escaped in JSON   | key_in_request | 400    |
      | its key in the query      | key_in_request | 400    |
      | its key in the path       | key_in_request | 400    |

    Examples: paths
      | fault                    | code               | status |
      | an unknown path          | not_found          | 404    |
      | an unknown service       | unknown_service    | 404    |
      | a model as a service     | unknown_service    | 404    |
      | a wrong method           | method_not_allowed | 405    |
      | Via of this deployment   | loop_detected      | 508    |
      | a service that has ended | service_ended      | 410    |
      | a bad idempotency key    | bad_request        | 400    |

  Scenario Outline: Broken HTTP is refused without harm to others
    When a caller sends the bytes of <shape>
    Then the connection is answered with <status> or closed
    And the backend servers received nothing
    And another caller is served

    Examples:
      | shape                             | status |
      | two different lengths             | 400    |
      | a length and chunked encoding     | 400    |
      | a length of text                  | 400    |
      | an unknown transfer encoding      | 501    |
      | a chunk size that is no number    | 400    |
      | a header line without a name      | 400    |
      | a head over the limit             | 431    |
      | a head that never ends            | 408    |
      | a body that never ends            | 408    |
      | bytes that are not HTTP           | 400    |

  Scenario: The backend server sees no key, in headers, query, body or trace
    When a caller sends its key in headers that are passed on
    Then the answer is whole and has status 201
    And no backend server received a key

  Scenario: A key that is withdrawn stops on a connection that stays open
    Given a caller with a connection that has been used
    When its key is withdrawn
    Then its next request on that connection is refused as key_withdrawn

  Scenario: A caller that goes away cancels its run
    Given the engines are slow
    When a caller goes away in the middle of a stream
    Then the engine is told and its slot is free

  Scenario: A caller that reads nothing does not hold up another
    When a caller asks for a long stream and reads nothing
    Then another caller is served

  Scenario: The entries are those that take callers, best first
    When a caller of coastal asks piedmont-1 for the entries
    Then the first entry is in coastal and all 4 are there

  Scenario: A limit on requests in flight is kept
    Given the engines are slow
    When an organisation with a limit of 1 sends 2 requests at once
    Then one is served and the other refused as rate_limit_exceeded

  Scenario: An organisation that is over its rate is refused at once
    Given the engines are slow
    When an organisation of 30 tokens a second asks 3 times at once for 2000 tokens
    Then at most 1 is served, and the others are refused as rate_limit_exceeded with Retry-After
    And the refusals took less than 1 second
