Feature: Orders of operators whose connection was closed
  The HTTP server and its application are the real ones, on loopback.

  Scenario Outline: A process that wakes carries out only orders that are awaited
    Given the HTTP application of a control VM
    When an operator sends <order> while the process is suspended, and <then>
    Then the order is <outcome>

    Examples:
      | order                       | then            | outcome         |
      | DELETE /-/evacuations/a-1   | closes          | not carried out |
      | DELETE /-/evacuations/a-1   | resets          | not carried out |
      | DELETE /-/evacuations/a-1   | waits           | carried out     |
      | POST /-/evacuations/a-1     | closes          | not carried out |
      | POST /-/evacuations/a-1     | waits           | carried out     |
      | DELETE /-/held-prompts/h-1  | closes          | not carried out |
      | DELETE /-/held-prompts/h-1  | waits           | carried out     |
