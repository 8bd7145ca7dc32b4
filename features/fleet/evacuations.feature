Feature: Evacuations as entry VMs know them
  Entry VMs take the evacuations from replies of control VMs, which may be older
  than what they know, or of a group that has lost a part of its state.

  Scenario Outline: An entry VM neither forgets nor takes back an evacuation
    Given a fleet of 3 control VMs and 1 entry VMs
    And an entry VM with 7 changes and failure domain a-1 evacuated
    When it gets a reply with <changes> changes and <domains> evacuated that is <kind>
    Then it has <expected> evacuated

    Examples:
      | changes | domains | kind                     | expected |
      | 8       | none    | confirmed                | none     |
      | 8       | none    | not confirmed            | none     |
      | 6       | none    | not confirmed            | a-1      |
      | 7       | none    | not confirmed            | a-1      |
      | 6       | none    | confirmed before         | a-1      |
      | 2       | none    | confirmed                | a-1      |
      | 2       | b-1     | confirmed                | a-1 b-1  |
      | 2       | b-1     | not confirmed            | a-1      |
      | 9       | none    | from a starting VM       | a-1      |

  Scenario: An evacuation that the group has lost ends with the next order
    Given a fleet of 3 control VMs and 1 entry VMs
    And an entry VM with 7 changes and failure domain a-1 evacuated
    When it gets a reply with 2 changes and none evacuated that is confirmed
    Then it has a-1 evacuated
    When it gets a reply with 3 changes and none evacuated that is confirmed
    Then it has a-1 evacuated
    When it gets a reply with 3 changes and an order on a-1
    Then it has none evacuated

  Scenario: An entry VM beside starting control VMs uses no old state
    Given a fleet of 3 control VMs and 1 entry VMs
    And the fleet holds version 4
    When snapshots are taken, then failure domain a-1 is evacuated
    And all VMs restart, and control VMs b and c are gone
    Then in the next 5 seconds no entry VM serves without the evacuation

  Scenario Outline: A malformed part of replies does not keep an evacuation out
    Given a fleet of 3 control VMs and 2 entry VMs
    And the fleet holds version 4
    When the replies to polls of the fleet have <part> that is malformed
    And failure domain a-1 of the fleet is evacuated meanwhile
    Then within 5 seconds all entry VMs of the fleet have it evacuated

    Examples:
      | part      |
      | document  |
      | instances |
      | entries   |
      | holds     |
      | loads     |
      | history   |
