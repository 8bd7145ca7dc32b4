Feature: Requests wait briefly for capacity that is about to be free

  Scenario: The most urgent requests within their shares come first
    Given a queue of an overloaded service
    When requests wait with the ranks and shares: 1 within, 0 beyond, 1 beyond, 0 within, promised
    Then they are admitted in the order: promised, 0 within, 0 beyond, 1 within, 1 beyond

  Scenario: A request does not overtake those that wait
    Given a queue of an overloaded service
    When requests wait with the ranks and shares: 0 within
    Then an equally urgent request that arrives when a place is free waits
    And a promised return is admitted

  Scenario Outline: A request waits only for an eighth of its objective
    Given a queue of an overloaded service
    When a request with an objective of 0.8 s is predicted to be admitted in <seconds> s
    Then it is told to <turn>

    Examples:
      | seconds | turn   |
      | 0       | admit  |
      | 0.09    | wait   |
      | 0.11    | reject |

  Scenario: A request is rejected at once when the prediction gets worse
    Given a queue of an overloaded service
    When a request with an objective of 0.8 s is predicted to be admitted in 0.05 s
    And 0.03 s later in 0.08 s
    Then it is told to reject

  Scenario: The least urgent requests beyond the bound are rejected
    Given a queue of an overloaded service
    When 40 requests with ranks from 39 to 0 wait
    Then 32 wait, and those with the ranks 32 to 39 are told to reject

  Scenario: Nobody waits for a client that has disconnected
    Given a deployment in which requests compete for capacity
    When all clients that wait during an overload disconnect
    Then no request waits
    And no request of those clients was sent to a server

  Scenario: Rejections after a wait are fast
    The wait takes an eighth of the longest objective, 0.15 s, and a round trip
    to another region 0.11 s.
    Given a deployment in which requests compete for capacity
    When a burst of twice the capacity is replayed
    Then some requests were admitted after a wait
    And each rejection takes at most 0.27 seconds
