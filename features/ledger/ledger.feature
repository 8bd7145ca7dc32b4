Feature: Claims on idempotency keys in the ledger
  The ledger is a replicated state machine: it must give the same result on
  every replica and never let a call run twice.

  Scenario Outline: The result of claiming a call again
    Given a ledger in which <history>
    When the call is claimed again <how>
    Then the claim is <answer>

    Examples:
      | history                                  | how                              | answer                 |
      | nothing was claimed                      | by anybody                       | new                    |
      | the call is running                      | by anybody                       | running                |
      | the call is running                      | by the same request              | new                    |
      | the call is running                      | with another body                | idempotency_key_reused |
      | the call is running                      | by another organisation          | new                    |
      | the call is running                      | after its time to run            | unknown                |
      | the call is running                      | after its time to be kept        | new                    |
      | the call is running and its VM restarted | by anybody                       | unknown                |
      | the call is done                         | by anybody                       | done                   |
      | the call is done                         | with another body                | idempotency_key_reused |
      | the call is done                         | after its time to run            | done                   |
      | the call is done and its VM restarted    | by anybody                       | done                   |
      | the call failed, unknown                 | by anybody                       | unknown                |
      | the call was not run                     | by anybody                       | new                    |
      | the call is done and then released       | by anybody                       | done                   |
      | the call was released by another request | by anybody                       | running                |
      | the call is running                      | by a leader whose clock is behind | running               |
      | the ledger is full                       | by anybody                       | overloaded             |

  Scenario: A restored snapshot has the same claims
    Given a ledger in which the call is done
    When it is saved and restored
    And the call is claimed again by anybody
    Then the claim is done
