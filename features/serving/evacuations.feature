Feature: No way leads to a server of an evacuated failure domain
  Each VM is asked right when it sends a request whether it knows that the
  failure domain of the server is evacuated. Dispatchers, planners and server
  pools are the real ones; servers and control VMs are emulated.

  Scenario Outline: A request does not reach an evacuated server
    Given a fleet of regions a and b with two failure domains each
    When <domains> are evacuated <when>
    And requests are served while servers <fault>
    Then no VM has sent a request to an evacuated server
    And <count> requests or more were sent

    Examples:
      | domains     | when                     | fault                          | count |
      | a-1         | at first                 | are healthy                    | 20    |
      | a-1         | in the middle            | are healthy                    | 20    |
      | a-1         | in the middle            | goes silent after 2 events     | 20    |
      | a-1         | in the middle            | disconnects after 2 events     | 20    |
      | a-1         | in the middle            | disconnects before responding  | 20    |
      | a-1         | in the middle            | unreachable                    | 20    |
      | a-1         | in the middle            | full                           | 20    |
      | a-1 a-2     | in the middle            | are healthy                    | 20    |
      | a-1 a-2     | in the middle            | disconnects after 2 events     | 20    |
      | a-1 a-2 b-1 | in the middle            | disconnects after 2 events     | 20    |
      | a-1         | in the middle on VM a0   | disconnects after 2 events     | 20    |
      | b-1         | in the middle on VM b0   | are healthy                    | 20    |

  Scenario: An evacuated region of one failure domain gets no requests
    Given a fleet of region a with one failure domain
    When a-1 are evacuated at first
    And requests are served while servers are healthy
    Then no VM has sent a request to an evacuated server
    And no requests were sent

  Scenario: Random evacuations, faults and partitions
    Then no VM sends a request to an evacuated server in 60 random runs
