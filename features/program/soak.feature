Feature: The checks of the soak find planted violations

  Scenario: A record without a violation passes
    Given the record of a soak
    Then the checks find nothing

  Scenario Outline: A violation is found
    Given the record of a soak
    When this is planted: <planted>
    Then the checks find <rule> and nothing else

    Examples:
      | planted                                                | rule    |
      | a success with the response to another request         | MIXED   |
      | an unsafe request that ran twice                       | TWICE   |
      | an unsafe request that ran and was answered 503        | REFUSED |
      | a read that is older than what was acknowledged        | CONFIG  |
      | a read with other content than was sent                | CONFIG  |
      | no answer to any read for 6 s in calm times            | CONFIG  |
      | a route that was added is not served                   | CONFIG  |
      | an order without an acknowledgement in calm times      | ACKS    |
      | a run in an evacuated failure domain                   | EVAC    |
      | no request served 13 s after a fault                   | RECOVER |
      | a process that ended by itself                         | FAULT   |

  Scenario Outline: What the rules allow is no violation
    Given the record of a soak
    When this is planted: <planted>
    Then the checks find nothing

    Examples:
      | planted                                                     |
      | a safe request that ran twice                               |
      | no answer to any read for 6 s beside a fault                |
      | an order without an acknowledgement beside a fault          |
      | a run in an evacuated failure domain within 5 s             |
      | a run in an evacuated failure domain after its readmission  |

  Scenario: A schedule of faults depends on its seed only
    Then the rounds of 50 seeds are drawn twice alike and lose at most two disks
