@deployment
Feature: Operators edit the table and give keys
  An edit is accepted once it is durable on a majority of the disks, and a
  refused one changes nothing.

  Scenario Outline: A wrong table is refused with every wrong cell
    When an operator puts a table with <fault>
    Then the edit is refused with <status> as <code>
    And the report names <cells>
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

  Scenario Outline: An edit needs its conditions
    When an operator puts a good table with <condition>
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

  Scenario: Two operators race under equal numbers
    When 6 operators put different tables based on the same revision
    Then exactly one is accepted and the others get the current revision

  Scenario: An edit that is sent again gets its first outcome
    When an operator puts a table and sends it again through another VM
    Then both have the same outcome and the revision rose once

  Scenario: An accepted table is in force on every VM
    When an operator changes a rate
    Then every VM has the new rate

  Scenario Outline: A wrong key request is refused
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

  Scenario: A key is shown once and kept as a digest
    When an operator is given a key for press
    Then the key is in no answer and no file after that

  Scenario: A key that is given again is another key
    When an operator gives, withdraws and gives a key for press
    Then the first key is refused and the second one is served

  Scenario: Every metric of the brief is exposed
    When a caller sends a chat request
    Then the metrics tell of it with bounded labels and no key
