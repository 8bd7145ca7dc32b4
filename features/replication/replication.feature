Feature: The replicated log keeps acknowledged commands
  Replicas run in simulated time, with a simulated network and disks.

  Scenario Outline: No acknowledged command is lost
    Given a group of <count> replicas with 5 acknowledged commands
    When this happens: <failure>
    Then commands are acknowledged again
    And after recovery every replica has all acknowledged commands

    Examples:
      | count | failure                                           |
      | 3     | the leader crashes                                |
      | 5     | the leader and a follower crash                   |
      | 3     | every replica crashes and starts again            |
      | 3     | the leader is cut off for 30 seconds              |
      | 3     | the leader can send but not hear                  |
      | 3     | the leader can hear but not send                  |
      | 3     | a follower is cut off for 600 seconds             |
      | 3     | a third of the messages is lost                   |
      | 3     | a third of the messages is doubled                |
      | 3     | a third of the messages is late                   |
      | 3     | a follower loses its disk                         |
      | 3     | the leader loses its disk                         |
      | 3     | a follower loses its disk and then another crashes |
      | 5     | two followers lose their disks one after the other |
      | 3     | a follower comes back with an old disk            |
      | 3     | the leader comes back with an old disk            |
      | 3     | an old disk comes back while another lags         |
      | 3     | the leader's disk fails to sync                   |
      | 3     | a follower's disk fails to sync                   |
      | 3     | the leader's disk fails to append                 |
      | 3     | a follower misses a snapshot                      |
      | 3     | a follower loses its disk after a snapshot        |
      | 3     | all replicas are frozen for 60 seconds            |

  Scenario Outline: A power failure at any write step loses nothing
    Given a group of 3 replicas with 5 acknowledged commands
    When power fails at each of the next <steps> write steps of <which>
    Then after recovery every replica has all acknowledged commands

    Examples:
      | steps | which                  |
      | 30    | the leader             |
      | 30    | a follower             |
      | 30    | all replicas           |

  Scenario: A power failure at any step of taking a snapshot loses nothing
    Given a group of 3 replicas that takes a snapshot every 5 entries
    When power fails at each of the next 30 write steps of all replicas
    Then after recovery every replica has all acknowledged commands

  Scenario: A restart after several hundred commands
    Given a group of 3 replicas with 5 acknowledged commands
    When 400 commands are proposed
    And this happens: every replica crashes and starts again
    Then after recovery every replica has all acknowledged commands

  Scenario: A leader without a majority steps down
    Given a group of 3 replicas with 5 acknowledged commands
    When the leader is disconnected and a command is proposed to it
    Then the command fails and the leader has stepped down

  Scenario: A disconnected replica does not disturb the others
    Given a group of 3 replicas with 5 acknowledged commands
    When a follower is disconnected for 600 seconds and then reconnected
    Then the term has not increased

  Scenario Outline: A voter follows the voting rules
    Given a group of 3 replicas with 5 acknowledged commands
    Then a vote is <answer> to <candidate>

    Examples:
      | answer  | candidate                                             |
      | given   | a candidate of the next term with an equal log        |
      | refused | a second candidate of the same term                   |
      | refused | a second candidate after the voter was restarted      |
      | given   | the same candidate again after a restart              |
      | refused | a candidate of the next term with a shorter log       |
      | refused | a candidate of the next term with an older last entry |
      | refused | a candidate of an old term                            |
      | refused | a VM that is no member                                |
      | refused | a member that has lost its disk                       |
      | refused | a candidate while the leader is heard                 |

  Scenario: A new leader commits older entries only along with one of its own term
    Given a group of 3 replicas with 5 acknowledged commands
    When an entry of an old term reaches a majority under a new leader
    Then it is committed only after an entry of the new term

  Scenario Outline: Random schedules of failures
    Then <examples> random schedules of <steps> steps on <count> replicas satisfy the invariants

    Examples:
      | examples | steps | count |
      | 150      | 40    | 3     |
      | 60       | 40    | 5     |

  Scenario Outline: A schedule in which the entry that admitted a replica was lost
    Then the schedule of seed <seed> on 5 replicas satisfies the invariants

    Examples:
      | seed   |
      | 100159 |
      | 200233 |

  Scenario Outline: A damaged file is rejected and a torn write is truncated
    Given the log of a replica with 8 entries
    When this damage is done: <damage>
    Then loading it <result>

    Examples:
      | damage                                   | result                      |
      | its last record is torn                  | gives 7 entries             |
      | its last record has a flipped bit        | gives 7 entries             |
      | noise is added to its end                | gives 8 entries             |
      | a record in the middle has a flipped bit | is refused as damaged       |
      | its first record has a flipped bit       | is refused as damaged       |
      | the meta file has a flipped bit          | is refused as damaged       |
      | the snapshot has a flipped bit           | is refused as damaged       |
      | a file in the middle is missing          | is refused as damaged       |
      | it is of another format                  | is refused as damaged       |

  Scenario Outline: A group with one disk and copies in memory
    Given a group of 1 replica with 2 copies and 5 acknowledged commands
    When this happens to it: <failure>
    Then commands are acknowledged again
    And after recovery every replica has all acknowledged commands

    Examples:
      | failure                                          |
      | the disk is lost                                 |
      | the disk is lost and a copy is down              |
      | the disk is lost twice                           |
      | the disk is lost, and the state is 3 s on its way |
      | a copy restarts, and then the disk is lost       |
      | both copies restart in turn, and the disk is lost |
      | both copies restart at once                      |
      | the disk's VM restarts                           |
      | a copy is cut off, and then the disk is lost     |

  Scenario: An empty disk does not bootstrap a second group while copies are unreachable
    Given a group of 1 replica with 2 copies and 5 acknowledged commands
    When the disk is lost while its VM is disconnected
    Then nothing is acknowledged until a copy is reachable again

  Scenario: A command is acknowledged only once all reachable copies hold it
    Given a group of 1 replica with 2 copies and 5 acknowledged commands
    When a command is proposed while the copies are busy, and the disk is lost
    Then after recovery every replica has all acknowledged commands

  Scenario: A learner is not promoted before it has caught up
    Given a group of 3 replicas with 5 acknowledged commands
    When a follower without its disk joins and gets no entries
    Then it is not a voter

  Scenario: A data folder is used by one process at a time
    Given a data folder in use
    Then a second use of it is refused as folder_locked

  Scenario: A folder on disk keeps what was synced
    Given a data folder in use
    Then files appended to, replaced, truncated and removed in it stay so
