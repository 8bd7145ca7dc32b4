Feature: A control group keeps its fault tolerance while its members change
  Replicas run in simulated time, with a simulated network and disks.

  Scenario: The leader compacts its log again while it sends a snapshot
    Given a control group of 5 replicas
    When the leader compacts its log again while a follower gets a snapshot
    Then the log of that follower has no gap

  Scenario: A leader of an earlier release sends entries with a gap
    Given a control group of 5 replicas
    When a follower gets entries that do not follow its own
    Then it rejects them and its log has no gap

  Scenario: A replica of an earlier release never catches up, and its leader sends snapshots without a pause
    Given a control group of 3 replicas that takes a snapshot every 5 entries
    When a follower accepts snapshots for 20 s without storing them
    Then it gets at most one snapshot per heartbeat

  Scenario: A replica that lost its log discards snapshots up to its commit index
    Given a control group of 3 replicas that takes a snapshot every 5 entries
    When a follower has lost its log, but not its commit index
    Then it catches up within 5 s, and has applied each command once

  Scenario: A restored disk with a snapshot fails at the start, and the replica counts changes twice
    Given a control group of 3 replicas
    When a follower with a snapshot comes back with an old disk that takes no bytes for 1 s
    Then it catches up within 5 s, and has applied each command once

  Scenario Outline: A state machine that is reset and gets the log again differs from the others
    Then <machine> has the same state after a reset and the same commands

    Examples:
      | machine                     |
      | the store of the platform   |
      | the state of the table      |

  Scenario: A new leader changes the members before an entry of its term is committed
    Given a control group of 5 replicas
    When a VM joins at a new leader that has committed nothing of its term
    Then the change is rejected until an entry of its term is committed

  Scenario: Two changes of the members are proposed at the same time
    Given a control group of 5 replicas
    When the leader is to remove two voters at the same time
    Then only one of the two changes is made

  Scenario Outline: Two disks are lost after <count> machines in a row were replaced
    Given a control group of <size> replicas
    When <count> machines in a row are gone, each with a successor after 1 s, beginning with <first>
    And 5 s after the last one was gone, <lost> lose their disks
    Then a command is acknowledged within 12 s, and none is lost

    Examples:
      | size | count | first      | lost                     |
      | 5    | 1     | a follower | two followers            |
      | 5    | 1     | a follower | the leader and the newest |
      | 5    | 1     | the leader | two followers            |
      | 5    | 1     | the leader | the leader and the newest |
      | 5    | 2     | a follower | the leader and the newest |
      | 5    | 2     | the leader | two followers            |
      | 5    | 3     | a follower | the two newest           |
      | 5    | 3     | the leader | the leader and the newest |
      | 6    | 1     | a follower | two followers            |
      | 7    | 1     | the leader | the leader and the newest |

  Scenario Outline: A whole domain is lost after a machine was replaced
    Given a control group of <size> replicas
    When 1 machines in a row are gone, each with a successor after 1 s, beginning with a follower
    And 5 s after the last one was gone, a domain of <domain> is gone
    Then a command is acknowledged within 12 s, and none is lost

    Examples:
      | size | domain |
      | 6    | 2      |
      | 7    | 3      |
      | 9    | 3      |

  Scenario Outline: A sixth voter dies without a successor, then two disks are lost
    Given a control group of 5 replicas
    When a VM is added, and 4 s later <which> is gone
    And 5 s after the last one was gone, two followers lose their disks
    Then a command is acknowledged within 12 s, and none is lost

    Examples:
      | which      |
      | a follower |
      | the leader |

  Scenario Outline: All machines lose power after <count> replacements, two with their disks
    Given a control group of 5 replicas
    When <count> machines in a row are gone, each with a successor after 1 s, beginning with <first>
    And all machines lose power, and <lost> their disks too
    Then a command is acknowledged within 12 s, and none is lost
    And all machines vote again

    Examples:
      | count | first      | lost                      |
      | 0     | a follower | two followers             |
      | 1     | a follower | the leader and the newest |
      | 1     | the leader | two followers             |
      | 2     | a follower | the two newest            |
      | 2     | the leader | the leader and the newest |
      | 3     | a follower | two followers             |
      | 3     | the leader | the two newest            |

  Scenario Outline: A machine returns with its old disk after <count> replacements
    Given a control group of 5 replicas
    When <count> machines in a row are gone, each with a successor after 1 s, beginning with <first>
    And the machine that was gone first returns with its old disk
    Then a command is acknowledged within 12 s, and none is lost
    And all machines vote again

    Examples:
      | count | first      |
      | 1     | a follower |
      | 1     | the leader |
      | 2     | a follower |
      | 3     | the leader |
      | 5     | a follower |

  Scenario Outline: A voter that was removed while it was cut off votes again
    Given a control group of 5 replicas
    When <which> is cut off until a successor has taken its place
    And the links are back
    Then a command is acknowledged within 12 s, and none is lost
    And all machines vote again

    Examples:
      | which      |
      | a follower |
      | the leader |

  Scenario: All machines lose power while a replaced machine returns
    Given a control group of 5 replicas
    When 2 machines in a row are gone, each with a successor after 1 s, beginning with the leader
    And the machine that was gone first returns with its old disk
    And all machines lose power, and two followers their disks too
    Then a command is acknowledged within 12 s, and none is lost
    And all machines vote again

  Scenario: A voter keeps its state if its removal is not committed
    Given a control group of 5 replicas
    When a leader that reaches only one voter proposes to remove it
    Then that voter keeps its state and stays a voter

  Scenario: A machine keeps its disk if its admission with an empty one is not committed
    Given a control group of 5 replicas
    When a voter joins with an empty disk at a leader without a majority
    And it returns with its own disk
    Then it keeps its state, and none is lost

  Scenario Outline: A machine returns with an old disk that has a snapshot
    Given a control group of 5 replicas that takes a snapshot every <entries> entries
    When 1 machines in a row are gone, each with a successor after 1 s, beginning with a follower
    And the machine that was gone first returns with its old disk
    Then a command is acknowledged within 12 s, and none is lost
    And all machines vote again

    Examples:
      | entries |
      | 2       |
      | 5       |
      | 20      |

  Scenario Outline: Two disks are lost at the moment in which a stopped VM ends
    Given a control group of <size> replicas
    When <count> VMs in a row are stopped 4 s after the start of a successor, beginning with <first>
    And at once, <lost> lose their disks
    Then a command is acknowledged within 12 s, and none is lost

    Examples:
      | size | count | first      | lost                      |
      | 5    | 1     | a follower | two followers             |
      | 5    | 1     | the leader | the leader and the newest |
      | 5    | 2     | the leader | two followers             |
      | 5    | 3     | a follower | the two newest            |
      | 6    | 1     | the leader | two followers             |
      | 7    | 2     | a follower | the leader and the newest |

  Scenario Outline: A VM is stopped that has no successor
    Given a control group of <size> replicas
    When <which> is stopped without a successor
    Then <voters> VMs vote, and a command is acknowledged within 1.5 s of the stop

    Examples:
      | size | which      | voters |
      | 5    | a follower | 5      |
      | 5    | the leader | 5      |
      | 6    | a follower | 5      |
      | 6    | the leader | 5      |
      | 7    | the leader | 7      |

  Scenario: A message of a leader that is stopped arrives after it has stepped down
    Given a control group of 6 replicas with the random numbers of seed 10
    When the leader is stopped without a successor
    Then 5 VMs vote, and a command is acknowledged within 1.5 s of the stop

  Scenario: A VM is stopped while the leader runs an earlier release
    Given a control group of 5 replicas
    When a follower is stopped that the leader does not understand
    Then the stop ends within 2.5 s

  Scenario Outline: Malformed replies of one peer end no replica
    Given a control group of 5 replicas that takes a snapshot every 10 entries
    When a follower replies to <method> with <reply>
    Then no replica ends while disks are lost and leaders change
    And the log names that peer and <method>

    Examples:
      | method   | reply                                  |
      | vote     | [1]                                    |
      | vote     | ["x", true, "i"]                       |
      | vote     | [9, true, []]                          |
      | vote     | null                                   |
      | append   | [1]                                    |
      | append   | ["x", true, 0, "i"]                    |
      | append   | [1, false, "x", "i"]                   |
      | snapshot | [1]                                    |
      | snapshot | ["x", true]                            |
      | identify | [1]                                    |
      | identify | {}                                     |
      | identify | {"is_stale": false, "members_index": 1} |
      | identify | "text"                                 |

  Scenario Outline: A malformed request to join ends no replica
    Given a control group of 5 replicas
    When a peer asks the leader to admit <member>
    Then it gets a protocol error, and the members stay as they were

    Examples:
      | member       |
      | ["x", ["i"]] |
      | ["x", {}]    |
      | [[], "i"]    |

  Scenario Outline: A leader replies to a planned stop with a malformed reply
    Given a control group of 5 replicas
    When a follower is stopped whose leader replies with <reply>
    Then the stop ends within 2.5 s

    Examples:
      | reply             |
      | [1]               |
      | {}                |
      | {"is_voter": "x"} |

  Scenario: The decision of a leader satisfies the rules for all members
    Then each change of up to 9 voters and 3 learners satisfies the rules

  Scenario Outline: A mistake in the decision of a leader is found
    Then the check of all members finds this mistake: <mistake>

    Examples:
      | mistake                                         |
      | a learner is promoted while a dead voter counts |
      | a silent voter is removed from any number       |
      | a silent voter is never removed                 |

  Scenario Outline: No schedule of elections and changes loses a commit
    Then all schedules of <kind> satisfy the rules

    Examples:
      | kind               |
      | removals           |
      | replicas that join |
      | changes of five    |

  Scenario Outline: A mistake in the rules of changes is found
    Then a schedule of <kind> is found for this mistake: <mistake>

    Examples:
      | kind               | mistake                                                    |
      | removals           | a change before an entry of the own term is committed      |
      | changes of five    | two changes at once                                        |
      | replicas that join | a state is discarded on an uncommitted removal             |
      | replicas that join | a state is discarded on the word of an earlier leader      |

  Scenario Outline: No schedule of elections without lost disks loses a commit
    Then the search of lost disks with <group> satisfies the rules

    Examples:
      | group                                    |
      | two voters                               |
      | three voters                             |
      | three voters and a learner               |
      | three voters, a learner and a new VM     |
      | three voters, two learners and a command |
      | four voters, one promoted, and a learner |
      | five voters of which three are lost      |
      | a recovery with three of five            |

  Scenario Outline: A mistake in the election without lost disks is found
    Then the search of lost disks with <group> finds this mistake: <mistake>

    Examples:
      | group                                          | mistake                                               |
      | three voters, two learners and a command       | a commit needs no copies                              |
      | three voters, two learners and a command       | the learners are not asked                            |
      | three voters that are lost in turn             | the former members are not asked                      |
      | three voters that are lost in turn             | a member that joined again does not count             |
      | four silent voters                             | a silent member counts as lost                        |
      | three lost disks and a command                 | more disks may be lost                                |
      | three voters, a learner and a new VM           | a learner is a copy before its admission is committed |
      | a recovery with two of four                    | copies among the former members are enough            |
      | two elections of three voters and a learner    | a recovery has the next term                          |
      | two elections of three voters and two learners | a majority commits a recovery                         |
      | three voters, two learners and a command       | an earlier release led and is not noticed             |
      | two elections of three voters and a learner    | an earlier release led since                          |

  Scenario Outline: No leader can be elected for good after two disks are lost
    Then a leader can be elected after all <losses>

    Examples:
      | losses                                              |
      | losses of four voters and a learner                 |
      | losses of three voters and two learners             |
      | losses of three voters and a learner                |
      | losses of five voters                               |
      | changes and losses of three voters and two learners |

  Scenario: Only a learner is left that holds an acknowledged command
    Then none can be elected after some losses of three voters and two learners if no learner stands

  Scenario: A voter that lags refuses a candidate that was admitted meanwhile
    Given a control group of 5 replicas
    When the only VM with the newest entry is unknown to a voter that lags
    Then a leader is elected and no acknowledged command is lost

  Scenario: The status does not tell why a learner has no vote yet
    Given a control group of 5 replicas
    When a follower loses its disk, and it has been admitted
    Then the status of the leader names that learner and why it waits
    And one voter is missing until it votes

  Scenario Outline: Half of four voters lose their disks, and the group has no leader for good
    Given a control group of 5 replicas
    When a follower loses its disk, and it <moment>
    And at that moment <lost> lose their disks <power>
    Then a command is acknowledged within 12 s, and none is lost
    And all machines vote again

    Examples:
      | moment            | lost                       | power                     |
      | has been admitted | the leader and a follower  | alone                     |
      | has been admitted | two followers              | alone                     |
      | has been admitted as all know | the leader and a follower  | and all others lose power |
      | holds the log     | the leader and a follower  | alone                     |
      | holds the log     | two followers              | alone                     |
      | holds the log as all know | the leader and a follower  | and all others lose power |

    Examples: A replica that has not stored that the admission is committed
      | moment            | lost                       | power                     |
      | holds the log     | the leader and a follower  | and all others lose power |

  Scenario Outline: A new leader cannot commit the last admission again, since the copies that it counts are lost
    Given a control group of 5 replicas
    When two followers lose their disks, and <moment> that both are admitted
    And the leader and the learner admitted first lose their disks <power>
    Then a command is acknowledged within 12 s, and none is lost
    And all machines vote again

    Examples:
      | moment           | power                     |
      | the leader knows | and all others lose power |
      | all know         | and all others lose power |

  Scenario: A learner that stands again and again keeps voters with slow disks from electing a leader
    Given a control group of 5 replicas
    When a follower loses its disk, and it has been admitted as all know
    And the leader stops while the other voters sync in 0.6 s
    Then a command is acknowledged within 12 s, and none is lost

  Scenario Outline: Half of <size> voters lose their disks
    Given a control group of <size> replicas
    When at once, <lost> lose their disks
    Then a command is acknowledged within 12 s, and none is lost
    And all machines vote again

    Examples:
      | size | lost                      |
      | 2    | the leader                |
      | 2    | a follower                |
      | 4    | the leader and the newest |
      | 4    | two followers             |

  Scenario Outline: Two of five disks are lost 4 s after two others were back, with syncs of <sync> s
    Given a control group of 5 replicas
    And each sync takes <sync> s
    When at once two followers lose their disks
    And 4 s after their start a command is acknowledged
    And at that moment the leader and a follower lose their disks <power>
    Then a command is acknowledged within 12 s, and none is lost

    Examples:
      | sync  | power                     |
      | 0.002 | alone                     |
      | 0.002 | and all others lose power |
      | 0.05  | alone                     |
      | 0.05  | and all others lose power |
      | 0.1   | alone                     |
      | 0.1   | and all others lose power |
      | 0.2   | alone                     |
      | 0.2   | and all others lose power |

    @known_red
    Examples: Elections take several syncs
      | sync  | power                     |
      | 0.3   | alone                     |
      | 0.3   | and all others lose power |

  Scenario Outline: Two of four voters lose their disks before a promotion is known to be committed
    Given a control group of 5 replicas
    When at once two followers lose their disks
    And both are learners that hold the log
    And one of them has just been promoted
    And at that moment the leader and a follower lose their disks <power>
    Then a command is acknowledged within 12 s, and none is lost
    And all machines vote again

    Examples:
      | power                     |
      | alone                     |
      | and all others lose power |

  Scenario: Two of three voters lose their disks, and only a learner holds an acknowledged command
    Given a control group of 5 replicas
    When at once two followers lose their disks
    And both are learners that hold the log
    And only the leader, that learner and one more hold a command
    And that command is acknowledged
    And at that moment the leader and that one lose their disks
    Then a command is acknowledged within 12 s, and none is lost
    And all machines vote again

  Scenario: A learner that is gone for good keeps half of four voters without a leader
    Given a control group of 5 replicas
    When a follower loses its disk, and it has been admitted as all know
    And that learner is gone for 20 s
    And at that moment the leader and a follower lose their disks alone
    Then a command is acknowledged within 12 s, and none is lost

  Scenario: A learner that was removed returns with its old disk
    Given a control group of 5 replicas
    When a follower loses its disk, and it has been admitted as all know
    And that learner is gone for 20 s
    And it returns
    Then a command is acknowledged within 12 s, and none is lost
    And all machines vote again

  Scenario: Half of four voters lead without a learner that holds an acknowledged command
    Given a control group of 5 replicas
    When a follower loses its disk, and it has been admitted
    And only the leader, that learner and one more commit its promotion and a command
    And at that moment the leader and that one lose their disks
    Then a command is acknowledged within 12 s, and none is lost
    And all machines vote again

  Scenario: A learner counts for a command before it knows of its promotion, and the command is lost
    Given a control group of 5 replicas
    When a follower loses its disk, and its promotion does not reach it
    And only the leader, that learner and one more hold a command
    And at that moment the leader and that one lose their disks
    Then a command is acknowledged within 12 s, and none is lost

  Scenario: A candidate wins with the members that it had before its pre-vote
    Given a control group of 3 replicas
    When two voters are added while a candidate waits for its disk after its pre-vote
    Then it does not lead with the votes of two

  Scenario: A candidate that discards its state during its pre-vote ends its replica
    Given a control group of 4 replicas
    When a candidate discards its state while others refuse their votes
    Then a command is acknowledged within 12 s, and none is lost
    And all machines vote again

  Scenario: Half of four voters lead while the others are only silent
    Given a control group of 4 replicas
    When the leader and a follower are cut off
    Then the others elect no leader within 12 s

  Scenario: All founders lose their disks, and find no leader among themselves
    Given a control group of 3 founders and two VMs that joined
    When a founder loses its disk, and the others when all know its admission and lose power
    Then a command is acknowledged within 12 s, and none is lost
    And all machines vote again

  Scenario Outline: A VM behind a slow link gets the same entries again and again, and never votes
    Given a control group of 5 replicas
    When <count> commands of <size> bytes are committed
    And a follower loses its disk, and then receives <rate> bytes per second
    Then it votes within <seconds> s
    And a command is acknowledged within 12 s, and none is lost

    Examples: three times the seconds that the bytes take, and 4 s
      | count | size   | rate   | seconds |
      | 30    | 20000  | 400000 | 8.5     |
      | 30    | 20000  | 100000 | 22      |
      | 1     | 400000 | 300000 | 8       |

  Scenario: A VM behind a slow link gets the first part of a snapshot again and again, and never votes
    Given a control group of 5 replicas
    When 30 commands of 20000 bytes are committed and compacted
    And a follower loses its disk, and then receives 100000 bytes per second
    Then it votes within 22 s
    And a command is acknowledged within 12 s, and none is lost

  Scenario Outline: A learner that receives a long entry is removed again and again
    Given a control group of 5 replicas
    When 1 commands of <size> bytes are committed
    And a follower loses its disk, and then receives <rate> bytes per second
    Then it votes within <seconds> s
    And a command is acknowledged within 12 s, and none is lost

    Examples: three times the seconds that the bytes take, and 4 s
      | size    | rate   | seconds |
      | 1700000 | 100000 | 55      |
      | 400000  | 20000  | 64      |

  Scenario Outline: A snapshot begins anew after each lost message, and its VM never votes
    Given a control group of 5 replicas
    When 40 commands of 20000 bytes are committed and compacted
    And a follower loses its disk, and then receives 100000 bytes per second
    And each fourth <part> of a snapshot that is sent to it is lost
    Then it votes within 28 s
    And a command is acknowledged within 12 s, and none is lost

    Examples:
      | part  |
      | chunk |
      | reply |

  Scenario Outline: VMs with empty disks wait for many syncs in a row, and vote too late
    Given a control group of 5 replicas with the random numbers of seed <seed>
    When <which> lose their disks at once while each sync takes <sync> s
    Then they vote within <seconds> s of their start

    Examples: half of the bound of 4 s, and the bound with slower disks
      | which                     | sync | seconds | seed |
      | two followers             | 0.1  | 2       | 1    |
      | two followers             | 0.1  | 2       | 2    |
      | two followers             | 0.1  | 2       | 3    |
      | two followers             | 0.2  | 4       | 1    |
      | two followers             | 0.2  | 4       | 2    |
      | the leader and the newest | 0.1  | 4       | 1    |

    @known_red
    Examples: An election comes first, in which each step waits for syncs
      | which                     | sync | seconds | seed |
      | the leader and the newest | 0.2  | 4       | 1    |

  Scenario Outline: A learner names a leader that has lost its disk, and empty VMs ask that one for good
    Given a control group of 5 replicas
    When a follower loses its disk, and it has been admitted
    And the leader and all other voters but one lose their disks, and <who> finds that learner
    Then that learner names no leader within 3 s, and no VM asks a lost one any more

    Examples:
      | who               |
      | the former leader |
      | another empty VM  |

  Scenario: A VM with an empty disk waits for a peer that does not answer
    Given a control group of 5 replicas
    When a follower loses its disk and starts again while another is silent
    Then it is admitted before a call to the silent one has ended

  Scenario: A replica counts as caught up with its snapshot after a restart of all
    Given a control group of 5 replicas
    When all replicas start again with a snapshot that lacks commands
    Then none that lacks a command counts as caught up

  Scenario: A replica whose disk was full at its start takes its snapshot for the empty state
    Given a control group of 5 replicas
    When a follower with a snapshot starts while its disk takes no bytes
    Then its state machine is reset to the empty state
