Feature: The history of software versions and of the services of routes
  Entry VMs continue a stream of unknown origin only if one service and
  software version can have begun it. The control group records which were
  present in the last 180 seconds. Time and network are simulated.

  Scenario Outline: The history survives what happens to the control VMs
    Given a fleet of 5 control VMs and 3 entry VMs
    And the fleet holds version 5
    When the fleet's servers change from v1 to v2
    And <event>
    Then within <seconds> seconds all entry VMs have a complete history of v1, v2

    Examples:
      | event                                | seconds |
      | in the fleet all control VMs are killed at once | 10      |
      | in the fleet two control VMs lose their disks   | 10      |
      | on the fleet the leader is killed               | 10      |
      | on the fleet the leader loses its disk          | 10      |
      | on the fleet all VMs restart 2 seconds later    | 10      |

  Scenario: A version is removed 180 seconds after it was last present
    Given a fleet of 3 control VMs and 2 entry VMs
    And the fleet holds version 5
    When the fleet's servers change from v1 to v2
    And 170 seconds pass in the fleet
    Then within 0 seconds all entry VMs have a complete history of v1, v2
    And within 15 seconds all entry VMs have a complete history of v2

  Scenario: Nothing is written while nothing changes
    Given a fleet of 3 control VMs and 2 entry VMs
    And the fleet holds version 5
    When the fleet's servers change from v1 to v2
    And 2 seconds pass in the fleet
    Then in 60 seconds nothing is written to the log of the fleet

  Scenario Outline: A control VM that lacks the history gets it again
    Given a fleet of 3 control VMs and 3 entry VMs
    And the fleet holds version 5
    When the fleet's servers change from v1 to v2
    And 2 seconds pass in the fleet
    And <vm> restarts with the snapshot of an earlier release that has <content>
    And all entry VMs of the fleet restart
    Then no entry VM has a history without v1
    And within 5 seconds all control VMs have the history of v1, v2
    And within 5 seconds all entry VMs have a complete history of v1, v2

    Examples:
      | vm           | content        |
      | a follower   | no history     |
      | a follower   | an old history |
      | the leader   | no history     |
      | the leader   | an old history |

  Scenario: The history is incomplete at first after an earlier release
    Given a fleet of 3 control VMs and 2 entry VMs
    And the fleet holds version 5
    When all control VMs restart with snapshots of an earlier release
    Then within 10 seconds all entry VMs have an incomplete history of v1
    And within 190 seconds all entry VMs have a complete history of v1

  Scenario: Entry VMs of a control VM of an earlier release have no history
    Given a fleet of 3 control VMs and 2 entry VMs
    And the fleet's control VMs do not send a history
    And the fleet holds version 5
    Then in 5 seconds no entry VM of the fleet has a history

  Scenario: Only the leader tells the current history
    An entry VM that is out of step continues a stream of unknown origin only
    if this history names a single origin.

    Given a fleet of 5 control VMs and 3 entry VMs
    And the fleet holds version 5
    When the fleet's servers change from v1 to v2
    Then only the leader of the fleet tells the current history, of v1, v2

  Scenario: A leader that is cut off tells no current history
    Given a fleet of 5 control VMs and 3 entry VMs
    And the fleet holds version 5
    When the fleet's servers change from v1 to v2
    And the leader of the fleet is cut off from the other control VMs
    Then within 20 seconds only a new leader tells the current history, and the old one tells none

  Scenario: A new leader tells no current history before it has recorded its own
    Versions may have served streams while nobody led.

    Given a fleet of 3 control VMs and 2 entry VMs
    And the fleet holds version 5
    When the fleet's servers change from v1 to v2
    And the leader of the fleet fails, and the next one records nothing
    Then no control VM of the fleet tells the current history
    When the new leader of the fleet records versions
    Then only the leader of the fleet tells the current history, of v1, v2

  Scenario: A new leader tells no current history before it has read the list
    Its list may be older than a version that served streams meanwhile.

    Given a fleet of 3 control VMs and 2 entry VMs
    And the fleet holds version 5
    When the fleet's servers change from v1 to v2
    And the leader of the fleet fails, and the next one cannot read the list
    Then no control VM of the fleet tells the current history
    When the list of the fleet is readable again
    Then only the leader of the fleet tells the current history, of v1, v2, v3

  Scenario: The current history has all that the leader's list shows
    A version may serve streams before it is recorded.

    Given a fleet of 3 control VMs and 2 entry VMs
    And the fleet holds version 5
    When the fleet's servers change from v1 to v2
    And a version v3 is listed that the leader of the fleet has not recorded
    Then only the leader of the fleet tells the current history, of v1, v2, v3

  Scenario Outline: The services of a route are recorded by host and path prefix
    Given a history of routes <before>
    When they are replaced by routes <after>
    Then the streams of <prefix> may have begun at <services>
    And 200 seconds later at <later>

    Examples:
      | before             | after              | prefix    | services | later |
      | /chat/=x           | /chat/=y           | /chat/    | x, y     | y     |
      | /chat/=x           | /chat/=x:0,y:1     | /chat/    | x, y     | y     |
      | /=x                | /=x, /chat/=y      | /chat/    | x, y     | y     |
      | /=x, /chat/=y      | /=x                | /         | x, y     | x     |
      | /=x, /chat/=y      | /=x, /chat/=y      | /chat/    | y        | y     |
      | /=x, /chat/=y      | /=x, /chat/=y      | /         | x        | x     |
      | /chat/=x, /other/=z | /chat/=y, /other/=z | /other/ | z        | z     |

  Scenario: Snapshots are readable by releases without a history
    When a store with a configuration and a hold gets a history
    Then the release before the history reads its snapshot
    And the history is restored from the snapshot
    And a snapshot of the release before is restored without a history
    And an older history does not replace a newer one
