Feature: A replica whose disk fails returns when the disk is sound
  Disks fail for a time as DEPLOY.md says: they are slow, hang, or refuse
  writes.

  Scenario Outline: A disk takes no bytes, and its replica is lost or wins elections that it cannot use
    Given a group of 5 replicas with 5 acknowledged commands
    When the disks of <which> take no bytes for <seconds> s
    Then no outage is longer than 5 s
    And the term has increased by at most 2
    And no process has ended
    And every replica votes and has all acknowledged commands

    Examples:
      | which                     | seconds |
      | the leader                | 0.2     |
      | the leader                | 0.7     |
      | the leader                | 2       |
      | the leader                | 5       |
      | the leader                | 20      |
      | a follower                | 0.2     |
      | a follower                | 0.7     |
      | a follower                | 2       |
      | a follower                | 5       |
      | a follower                | 20      |
      | the leader and a follower | 2       |
      | the leader and a follower | 20      |
      | two followers             | 5       |

  Scenario Outline: The disks of a majority take no bytes, and the group does not return with them
    Given a group of 5 replicas with 5 acknowledged commands
    When the disks of <which> take no bytes for <seconds> s
    Then no outage is longer than 5 s
    And no process has ended
    And every replica votes and has all acknowledged commands

    Examples:
      | which                        | seconds |
      | the leader and two followers | 0.7     |
      | the leader and two followers | 5       |
      | the leader and two followers | 20      |
      | all replicas                 | 0.7     |
      | all replicas                 | 5       |

  Scenario Outline: Disks take no bytes in turn, and each failure costs a voter for good
    Given a group of 5 replicas with 5 acknowledged commands
    When each disk takes no bytes for <seconds> s, one after the other
    Then no outage is longer than 5 s
    And no process has ended
    And every replica votes and has all acknowledged commands

    Examples:
      | seconds |
      | 0.7     |
      | 4.5     |

  Scenario Outline: A slow disk stops the group or keeps it electing
    Given a group of 5 replicas with 5 acknowledged commands
    When each write of the disks of <which> takes <duration> s for 30 s
    Then no outage is longer than 5 s
    And the term has increased by at most 2
    And no process has ended
    And every replica votes and has all acknowledged commands

    Examples:
      | which                     | duration |
      | the leader                | 0.05     |
      | the leader                | 0.3      |
      | the leader                | 0.7      |
      | the leader                | 1.2      |
      | the leader                | 2        |
      | a follower                | 0.3      |
      | a follower                | 1.2      |
      | a follower                | 2        |
      | the leader and a follower | 1.2      |
      | the leader and a follower | 2        |

  Scenario Outline: Slow disks of all replicas stop the group
    Given a group of 5 replicas with 5 acknowledged commands
    When each write of the disks of all replicas takes <duration> s for 30 s
    Then no outage is longer than 5 s
    And every replica votes and has all acknowledged commands

    Examples:
      | duration |
      | 0.05     |
      | 0.3      |
      | 2        |

  Scenario Outline: A hanging disk stops the group
    Given a group of 5 replicas with 5 acknowledged commands
    When the disks of <which> hang for <seconds> s
    Then no outage is longer than 5 s
    And the term has increased by at most 2
    And no process has ended
    And every replica votes and has all acknowledged commands

    Examples:
      | which                     | seconds |
      | the leader                | 0.7     |
      | the leader                | 3       |
      | the leader                | 20      |
      | a follower                | 20      |
      | the leader and a follower | 20      |

  Scenario Outline: A leader whose disk hangs while it compacts its log keeps leading
    Given a group of 5 replicas that takes a snapshot every 20 entries
    When the disk of the leader hangs for <seconds> s as it compacts its log
    Then no outage is longer than 5 s
    And the term has increased by at most 2
    And no process has ended
    And every replica votes and has all acknowledged commands

    Examples:
      | seconds |
      | 0.7     |
      | 3       |
      | 30      |

  Scenario Outline: A write step fails, and its replica does not return
    Given a group of 5 replicas that takes a snapshot every 5 entries
    When the step <step> of the disks of <which> fails for 3 s
    Then no outage is longer than 5 s
    And no process has ended
    And every replica votes and has all acknowledged commands

    Examples:
      | step     | which      |
      | append   | the leader |
      | sync     | the leader |
      | replace  | the leader |
      | replaced | the leader |
      | remove   | the leader |
      | truncate | the leader |
      | open     | the leader |
      | append   | a follower |
      | sync     | a follower |
      | replace  | a follower |
      | replaced | a follower |
      | remove   | a follower |
      | open     | a follower |

  Scenario: A candidate cannot save its vote, and its process ends
    Given a group of 5 replicas with 5 acknowledged commands
    When the leader crashes while the disk of the next candidate takes no bytes
    Then no outage is longer than 5 s
    And the term has increased by at most 2
    And no process has ended
    And every replica votes and has all acknowledged commands

  Scenario: A replica starts on a full disk, and its process ends
    Given a group of 5 replicas with 5 acknowledged commands
    When a follower starts while its disk takes no bytes for 4 s
    Then no outage is longer than 5 s
    And no process has ended
    And every replica votes and has all acknowledged commands

  Scenario: After a failed sync, bytes can be read that are not on the disk
    Given a group of 5 replicas with 5 acknowledged commands
    When a sync of a follower fails, and later its power and that of the others
    Then no process has ended
    And every replica votes and has all acknowledged commands

  Scenario: Followers keep believing in a leader whose disk has failed
    Given a group of 5 replicas with 5 acknowledged commands
    When the disk of the leader fails
    Then no replica takes it for the leader

  Scenario: Followers keep believing in a leader that has lost its majority
    Given a group of 5 replicas with 5 acknowledged commands
    When the leader loses its majority and steps down
    Then no replica that it reaches takes it for the leader

  Scenario: Survivors without a majority keep believing in a crashed leader
    Given a group of 5 replicas with 5 acknowledged commands
    When the leader and two followers crash and 4 s pass
    Then no replica takes it for the leader

  Scenario: A late message of a leader's end displaces its successor
    Given a group of 5 replicas with 5 acknowledged commands
    When the leader crashes, and its end is told after the next election
    Then the followers still know the new leader

  Scenario: A replica whose disk fails again and again wins each election
    Given a group of 5 replicas with 5 acknowledged commands
    When for 30 s the disk of the leader takes no bytes for 0.2 s every 1.5 s
    Then no outage is longer than 5 s
    And the term has increased by at most 2
    And every replica votes and has all acknowledged commands

  Scenario: A leader whose disk hangs again and again wins each election
    Given a group of 5 replicas with 5 acknowledged commands
    When for 30 s the disk of the leader hangs for 1.7 s every 4 s
    Then no outage is longer than 5 s
    And the term has increased by at most 2
    And every replica votes and has all acknowledged commands

  Scenario Outline: A leader with a slow disk keeps the group slow
    Given a group of 5 replicas with 5 acknowledged commands
    When each write of the disks of the leader takes <duration> s for 30 s
    Then another replica led before the end, and no outage is longer than 5 s
    And the term has increased by at most 2
    And every replica votes and has all acknowledged commands

    Examples:
      | duration |
      | 0.7      |
      | 1.2      |
      | 2        |

  Scenario Outline: Equally slow disks make the replicas lead in turn
    Given a group of 5 replicas with 5 acknowledged commands
    When each write of the disks of all replicas takes <duration> s for 30 s
    Then no outage is longer than 5 s
    And the term has increased by at most 2
    And every replica votes and has all acknowledged commands

    Examples:
      | duration |
      | 0.3      |
      | 0.7      |

  Scenario Outline: A slow disk of a voter that the majority needs deposes a sound leader
    Given a control group of 5 replicas in several regions with 5 acknowledged commands
    When two followers crash, and each write of the disk of a follower takes <duration> s for 60 s
    Then the leader has not changed, and all commands are acknowledged
    And no outage is longer than 5 s
    And every replica votes and has all acknowledged commands

    Examples:
      | duration |
      | 0.3      |
      | 0.6      |
      | 0.7      |
      | 0.9      |
      | 1.2      |
      | 2        |

  Scenario Outline: Syncs that last longer than a call leave a group without a leader or a commit
    Given a control group of 5 replicas in several regions with 5 acknowledged commands
    When all disks take <duration> s for a write, and <failure>
    Then no outage is longer than 12 s
    And every replica votes and has all acknowledged commands

    Examples:
      | duration | failure                              |
      | 0.3      | the leader crashes                   |
      | 0.7      | the leader crashes                   |
      | 1.2      | the leader crashes                   |
      | 0.3      | all replicas lose power for a moment |
      | 0.7      | all replicas lose power for a moment |
      | 0.7      | nothing else fails                   |
      | 1.2      | nothing else fails                   |

    @known_red
    Examples: Each step of an election waits for a sync
      | duration | failure                              |
      | 2        | the leader crashes                   |
      | 1.2      | all replicas lose power for a moment |
      | 2        | nothing else fails                   |

  Scenario: A voter goes on supporting a candidate that has lost its pre-vote
    Given a control group of 5 replicas in several regions with 5 acknowledged commands
    When a candidate loses its pre-vote, which a voter with a slow disk granted
    Then that voter grants the next candidate its pre-vote

  Scenario: Replicas that start at the same time wait for one write after the other
    Given a control group of 5 replicas in several regions with 5 acknowledged commands
    When four VMs identify themselves at a replica while each write takes 1.2 s
    Then all of them have a reply within 3 s

  Scenario Outline: Reads are not confirmed while the majority needs a slow disk
    Given a control group of 5 replicas in several regions with 5 acknowledged commands
    When two followers crash, and reads come while each write of a follower takes <duration> s
    Then each read is confirmed within 0.6 s

    Examples:
      | duration |
      | 0.5      |

    @known_red
    Examples: A heartbeat beside a write comes after 0.5 s without contact
      | duration |
      | 1.2      |

  Scenario: A slow leader that the majority needs is deposed again and again
    Given a control group of 5 replicas in several regions with 5 acknowledged commands
    When two followers crash, and each write of the disk of the leader takes 0.6 s for 60 s
    Then the term has increased by at most 1
    And no outage is longer than 5 s
    And every replica votes and has all acknowledged commands

  Scenario: A leader keeps leading though a disk that the majority needs hangs
    Given a control group of 5 replicas in several regions with 5 acknowledged commands
    When two followers crash, and the disk of a third hangs for 600 s
    Then the leader has stepped down within 5 s

  Scenario: A killed process has not synced an entry, and the next one counts it as stored
    Given a log whose process was killed before it synced the last entry
    When it is loaded, and then the power is lost
    Then all entries that were loaded are there

  Scenario: A heartbeat during a write confirms an entry or a term that is not stored
    Given a group of 5 replicas with 5 acknowledged commands
    When heartbeats reach a follower while it writes an entry
    Then it answers at once only what it has stored

  Scenario: A candidate whose disk is slow is elected
    Given a group of 5 replicas with 5 acknowledged commands
    When the leader crashes while each write of the next candidate takes 0.7 s
    Then the candidate with the slow disk was not elected
    And no outage is longer than 5 s
    And every replica votes and has all acknowledged commands

  Scenario Outline: A faulty disk of a control VM leaves the group without a leader
    Given a control group of 5 replicas in several regions with 5 acknowledged commands
    When <fault>
    Then no outage is longer than 5 s
    And no process has ended
    And every replica votes and has all acknowledged commands

    Examples:
      | fault                                                                     |
      | the disks of the leader take no bytes for 0.7 s                           |
      | the disks of the leader take no bytes for 20 s                            |
      | the disks of the leader and a follower take no bytes for 5 s              |
      | the disks of the leader and two followers take no bytes for 5 s           |
      | the disks of all replicas take no bytes for 5 s                           |
      | each disk takes no bytes for 4.5 s, one after the other                   |
      | the disks of the leader and a follower hang for 20 s                      |
      | each write of the disks of the leader takes 0.7 s for 30 s                |
      | each write of the disks of the leader and a follower takes 1.2 s for 30 s |
      | each write of the disks of the leader and a follower takes 2 s for 30 s   |
      | for 30 s the disk of the leader takes no bytes for 0.2 s every 1.5 s      |
      | for 30 s the disk of the leader hangs for 1.7 s every 4 s                 |
      | the leader crashes while the disk of the next candidate takes no bytes    |

  Scenario Outline: A replica is removed while it cannot store entries, and does not join again
    Given a group of 5 replicas that may shrink to 3, with 5 acknowledged commands
    When <fault>
    Then no outage is longer than 5 s
    And every replica votes and has all acknowledged commands

    Examples:
      | fault                                        |
      | the disks of a follower take no bytes for 25 s |
      | the disks of the leader take no bytes for 25 s |
      | the disks of a follower hang for 25 s        |
      | a follower is cut off for 25 s               |

  Scenario: A replica whose disk has failed disturbs elections
    Given a group of 5 replicas with 5 acknowledged commands
    When the disk of the leader fails
    Then it does not stand, and refuses its vote to the others

  Scenario Outline: A file stays unusable after its folder was full
    Given a data folder in use
    When a log in it is written, and <step> fails once
    Then the log recovers with what was synced and takes entries again

    Examples:
      | step             |
      | an append        |
      | a sync           |
      | a truncation     |
      | an opening       |
      | a replacement    |
