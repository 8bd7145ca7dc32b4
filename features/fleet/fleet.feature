Feature: Membership and configuration of a fleet
  Control VMs bootstrap their group from three seeds, and entry VMs poll them.
  Time and network are simulated.

  Scenario Outline: The group of control VMs forms and recovers
    Given a fleet of <controls> control VMs and 2 entry VMs
    When in the fleet <event>
    Then within <seconds> seconds the fleet has <voters> voters
    And the fleet accepts a configuration

    Examples:
      | controls | event                                   | seconds | voters    |
      | 3        | nothing happens                         | 8       | a b c     |
      | 5        | nothing happens                         | 8       | a b c d e |
      | 5        | all control VMs are killed at once      | 12      | a b c d e |
      | 5        | two control VMs lose their disks        | 15      | a b c d e |
      | 5        | e is gone for good and f comes for it   | 40      | a b c d f |
      | 5        | the seeds are exchanged and e restarts  | 15      | a b c d e |
      | 5        | the leader's disk hangs                 | 15      | a b c d e |

  Scenario: Lost disks of founders never bootstrap a second group
    Given a fleet of 3 control VMs and 1 entry VMs
    And the fleet holds version 5
    When all control VMs but one are down and come back without their disks
    Then for 20 seconds no control VM of the fleet leads
    And no control VM of the fleet confirms a read

  Scenario: Seeds that all lost their disks never bootstrap a second group
    Given a fleet of 5 control VMs and 1 entry VMs
    And the fleet holds version 5
    When the seeds come back without their disks and the others are down
    Then for 20 seconds no control VM of the fleet leads

  Scenario Outline: An accepted configuration reaches all entry VMs and stays
    Given a fleet of 5 control VMs and 4 entry VMs
    And the fleet holds version 5
    When in the fleet <event>
    Then within <seconds> seconds every entry VM has version <version>

    Examples:
      | event                                     | seconds | version |
      | version 9 is sent                         | 1.5     | 9       |
      | version 3 is sent                         | 1.5     | 5       |
      | version 5 is sent with other content      | 1.5     | 5       |
      | versions 8 and 9 are sent to two VMs      | 1.5     | 9       |
      | version 9 is sent and its answer is lost  | 1.5     | 9       |
      | version 9 is sent and all are killed      | 12      | 9       |
      | version 9 is sent and two disks are lost  | 12      | 9       |

  Scenario: A read that no majority confirms is rejected
    Given a fleet of 5 control VMs and 1 entry VMs
    And the fleet holds version 5
    When control VMs d and e of the fleet are cut off
    And version 9 is sent to the fleet
    Then control VM d of the fleet does not confirm a read
    And control VM a of the fleet reads version 9

  Scenario: A read waits until the control VM knows the leader
    Given a fleet of 5 control VMs and 1 entry VMs
    And the fleet holds version 5
    When control VM d of the fleet has just restarted
    Then control VM d of the fleet reads version 5

  Scenario: A read is rejected at once by a VM that does not lead any more
    Given a fleet of 5 control VMs and 1 entry VMs
    And the fleet holds version 5
    When control VM d of the fleet takes a follower for the leader
    Then control VM d of the fleet reads version 5

  Scenario Outline: A revoked key is rejected within its bound
    Given a fleet of 5 control VMs and 2 entry VMs
    And the fleet holds version 5
    When in the fleet entry VM e1 is <state>
    And version 9 is sent to the fleet
    Then 4.6 seconds later entry VM e1 of the fleet accepts no keys

    Examples:
      | state         |
      | cut off       |
      | frozen        |
      | near a cut off control VM |

  Scenario: A lease lasts through an election of the control VMs
    Given a fleet of 5 control VMs and 2 entry VMs
    And the fleet holds version 5
    When the leader of the fleet is killed
    Then for 8 seconds the entry VMs of the fleet accept keys

  Scenario Outline: Look-ups return live entry VMs
    Given a fleet of 3 control VMs and 3 entry VMs
    When in the fleet <event>
    Then within <seconds> seconds every look-up returns <entries>

    Examples:
      | event                  | seconds | entries  |
      | nothing happens        | 3       | e1 e2 e3 |
      | entry VM e2 is killed  | 3       | e1 e3    |
      | entry VM e2 leaves     | 1       | e1 e3    |

  Scenario Outline: Look-ups for home regions stay there while entry VMs leave
    When the entry VMs of home regions a and b are <homes> and those of c <others>
    Then a look-up from <region> for these home regions returns those of <named>

    Examples:
      | homes    | others  | region | named |
      | serving  | serving | a      | a     |
      | leaving  | serving | a      | a b   |
      | leaving  | serving | c      | c     |
      | starting | serving | a      | c     |

  Scenario: The load of a region is reported while all its entry VMs leave
    Given a fleet of 3 control VMs and 1 entry VMs
    And the fleet holds version 5
    When in the fleet the only entry VM of a region leaves
    Then the loads of its servers are reported within 2 seconds

  # Fails if the cost of the polls is quadratic in the number of entry VMs.
  Scenario: Polls share the summary of the fleet
    Given a control VM with 200 entry VMs
    Then their polls of 5 seconds compute 51 summaries

  Scenario: One control VM reads the instance list of the platform
    Given a fleet of 5 control VMs and 3 entry VMs
    When 30 seconds pass in the fleet
    Then the instance list was read at most 60 times
    And every entry VM of the fleet knows instance i-1

  Scenario: An entry VM's cost of membership does not grow with the fleet
    Given a fleet of 3 control VMs and 30 entry VMs
    When 10 seconds pass in the fleet
    Then each entry VM of the fleet sent at most 80 messages

  Scenario Outline: An organisation's rate holds over all entry VMs
    Given a fleet of 5 control VMs and 4 entry VMs
    And an organisation of 10000 tokens a second with a burst of 10000
    When for 20 seconds <demand> tokens a second are requested at 4 VMs
    Then in every 8 seconds at most 90000 tokens were granted
    And at least <share> percent of the tokens due were granted

    Examples:
      | demand | share |
      | 5000   | 99    |
      | 40000  | 85    |

  Scenario: An organisation far over its rate is mostly rejected at once
    Given a fleet of 5 control VMs and 4 entry VMs
    And an organisation of 10000 tokens a second with a burst of 10000
    And messages of the fleet take 0.055 seconds
    When for 10 seconds 80000 tokens a second are requested at 4 VMs
    Then at least half of the rejections took less than 0.06 seconds
    And at least 85 percent of the tokens due were granted

  Scenario: Large requests are not starved by small ones
    Given a fleet of 3 control VMs and 4 entry VMs
    And an organisation of 10000 tokens a second with a burst of 10000
    And its quota allows a debt of 6000 tokens
    When for 20 seconds requests of 300 and of 6000 tokens need 4 times the rate
    Then large requests were served at least half as often as small ones
    And in every 8 seconds at most 96000 tokens were granted

  Scenario: Bursts within the rate are served when the leader is far away
    Given a fleet of 3 control VMs and 4 entry VMs
    And an organisation of 10000 tokens a second with a burst of 10000
    And messages of the fleet take 0.055 seconds
    When for 20 seconds bursts of 5 requests of 500 tokens need half the rate
    Then at least 97 percent of the tokens due were granted

  Scenario: A first burst gets tokens though the leader is far away
    Given a fleet of 3 control VMs and 4 entry VMs
    And an organisation of 10000 tokens a second with a burst of 10000
    And messages of the fleet take 0.055 seconds
    When 8 requests of 100 tokens arrive at each entry VM at once
    Then every request got its tokens

  Scenario: No request well within the rate is rejected, whatever its size
    Given a fleet of 3 control VMs and 4 entry VMs
    And an organisation of 10000 tokens a second with a burst of 10000
    And messages of the fleet take 0.055 seconds
    When for 40 seconds requests of 300 and of 3000 tokens need half the rate
    Then at least 99 percent of the tokens due were granted
