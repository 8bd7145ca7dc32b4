@deployment
Feature: Operators edit the table and issue keys
  An edit is accepted once it is durable on a majority of the disks, and a
  rejected one changes nothing.

  Scenario Outline: An invalid table is rejected with all invalid cells
    When an operator puts a table with <fault>
    Then the edit is refused with <status> as <code>
    And the error names the cells <cells>
    And the table is unchanged

    Examples:
      | fault                      | status | code      | cells            |
      | an unknown column          | 422    | bad_table | 1:colour         |
      | a column twice             | 422    | bad_table | 1:name           |
      | no name column             | 422    | bad_table | 1:name           |
      | an unknown kind            | 422    | bad_table | 2:kind           |
      | a rate of text             | 422    | bad_table | 2:rate           |
      | a negative burst           | 422    | bad_table | 2:burst          |
      | a rate of nan              | 422    | bad_table | 2:rate           |
      | a weight of 0              | 422    | bad_table | 2:weight         |
      | a limit of 1.5             | 422    | bad_table | 2:limit          |
      | an unknown home            | 422    | bad_table | 2:home           |
      | bound without a home       | 422    | bad_table | 2:bound          |
      | bound as maybe             | 422    | bad_table | 2:bound          |
      | an end without an offset   | 422    | bad_table | 2:end            |
      | an end of text             | 422    | bad_table | 2:end            |
      | a row twice                | 422    | bad_table | 3:name           |
      | too few cells              | 422    | bad_table | 2:               |
      | three wrong cells          | 422    | bad_table | 2:rate 3:home 3:weight |
      | an open quote              | 422    | bad_table | 2:               |
      | bytes that are not text    | 400    | bad_request | -              |

  Scenario Outline: An edit requires If-Match and a valid token
    When an operator puts a valid table with <condition>
    Then the edit is refused with <status> as <code>
    And the table is unchanged

    Examples:
      | condition                | status | code              |
      | no If-Match              | 428    | if_match_required |
      | an If-Match that is bad  | 400    | bad_request       |
      | an older revision        | 412    | revision_conflict |
      | a future revision        | 412    | revision_conflict |
      | a wrong token            | 401    | invalid_key       |
      | no token                 | 401    | invalid_key       |

  Scenario: Only one of several concurrent edits is accepted
    When 6 operators put different tables based on the same revision
    Then exactly one is accepted and the others get the current revision

  Scenario: A retried edit gets the outcome of the first attempt
    When an operator puts a table and retries it through another VM
    Then both have the same outcome and the revision increased once

  Scenario: An accepted table is in effect on every VM
    When an operator changes a rate
    Then every VM has the new rate

  Scenario Outline: An invalid key request is rejected
    When an operator asks for a key with <fault>
    Then the edit is refused with <status> as <code>

    Examples:
      | fault                   | status | code        |
      | an unknown organisation | 404    | not_found   |
      | no organisation         | 400    | bad_request |
      | an unknown field        | 400    | bad_request |
      | a digest without an id  | 400    | bad_request |
      | a digest of wrong form  | 400    | bad_request |
      | a body that is not JSON | 400    | bad_request |

  Scenario: A key is shown once and stored as a digest
    When an operator creates a key for press
    Then the key is in no later answer and in no file

  Scenario: A key issued after a withdrawal is a different key
    When an operator issues, withdraws and again issues a key for press
    Then a request with the first key is refused and one with the second is served

  Scenario: The required metrics are exposed
    When a caller sends a chat request
    Then the metrics count it with bounded labels and without keys
