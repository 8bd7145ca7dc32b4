Feature: Edits of operators who have closed their connection
  A VM that was suspended may read an edit when its operator has given it up.
  The HTTP application is the real one; what it would change is recorded.

  Scenario Outline: Only what may come late is carried out for a caller who has gone
    When an operator who <state> sends <edit>
    Then the application has <outcome> it

    Examples:
      | state    | edit                                        | outcome         |
      | has gone | DELETE /admin/held-prompts/0123456789abcdef | not carried out |
      | waits    | DELETE /admin/held-prompts/0123456789abcdef | carried out     |
      | has gone | PUT /admin/table                            | not carried out |
      | waits    | PUT /admin/table                            | carried out     |
      | has gone | POST /admin/keys                            | not carried out |
      | waits    | POST /admin/keys                            | carried out     |
      | has gone | DELETE /admin/keys/0123456789ab             | carried out     |
      | waits    | DELETE /admin/keys/0123456789ab             | carried out     |

  Scenario: A late edit of the table or a key never undoes a later one
    Then a table that is based on an earlier one is rejected
    And a withdrawn key stays withdrawn, whatever is repeated
