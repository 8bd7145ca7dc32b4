Feature: Streams of one software version
  What two software versions of a service's backend servers generate does not
  fit together. The real dispatchers with emulated engines of several
  versions, in fake time; each stream has ten events.

  Scenario: A response does not go on at another software version
    Given region a with 3 entry VMs and engines of v1, v1, v2, v2
    And a route with 2 attempts
    When 20 streams break off after 2 events
    Then 20 of them are complete, and none has events of two versions

  Scenario: A response breaks off if its software version is gone
    Given region a with 3 entry VMs and engines of v1, v2
    And a route with 2 attempts
    When 20 streams break off after 2 events
    Then 0 of them are complete, and none has events of two versions

  Scenario Outline: A response without an event begins anew at any version
    Given region a with 3 entry VMs and engines of v1, v2
    And a route with 2 attempts
    When 20 streams meet an engine that <fault>
    Then 20 of them are complete, and none has events of two versions

    Examples:
      | fault                              |
      | disconnects before the first event |
      | closes before the first event      |

  Scenario Outline: A client's stream does not go on at another software version
    Given region a with 3 entry VMs and engines of v1, v1, v2, v2
    And region b with 3 entry VMs and engines of v1, v2, v3
    And a route with 1 attempt and home regions <homes>
    When 20 streams break off after 2 events
    And <event>
    And their clients resume them at <vm>
    Then 20 of them are complete, and none has events of two versions

    Examples:
      | homes | event                           | vm                      |
      | a, b  | 0.1 seconds pass                | the same VM             |
      | a, b  | 0.1 seconds pass                | another VM              |
      | a, b  | 10 seconds pass                 | another VM              |
      | a, b  | the VMs that got them restart   | another VM              |
      | a, b  | 0.1 seconds pass                | a VM of another region  |
      | b     | 0.1 seconds pass                | another VM              |
      | b     | the VMs that got them restart   | another VM              |

  Scenario: A stream whose software version is gone is rejected
    Given region a with 3 entry VMs and engines of v1, v1, v2, v2
    And a route with 1 attempt and home regions a
    When 20 streams break off after 2 events
    And the engines of v1 leave
    And their clients resume them at another VM
    Then those of v2 are complete, and the others are rejected as not run

  Scenario Outline: A stream of unknown origin goes on only if there is one version
    Given region a with 3 entry VMs and engines of <versions>
    And a route with 1 attempt and home regions a
    When 20 streams break off after 2 events
    And <event>
    And their clients resume them at another VM
    Then <count> of them are complete, and none has events of two versions

    Examples:
      | versions       | event                               | count |
      | v1, v1, v1     | all VMs restart                     | 20    |
      | v1, v1, v2, v2 | all VMs and the control VMs restart | 0     |

  Scenario Outline: Control VMs know the origins of streams during a release
    Given region a with 3 entry VMs and engines of v1, v1, v1, v1
    And region b with 3 entry VMs and engines of v1, v1, v1, v1
    And a route with 1 attempt and home regions <homes>
    And <fault>
    When 6 streams break off after 2 events
    And the version of half of the engines becomes v2
    And 1 seconds pass
    And 6 more streams break off after 2 events
    And 0.2 seconds pass
    And all VMs restart
    And their clients resume them at <vm>
    Then none has events of two versions, and the incomplete ones are rejected as not run
    And <rejected> of them are rejected as not run

    Examples:
      | homes | fault                          | vm                          | rejected |
      | a     | all control VMs are reachable  | the same VM                 | 0        |
      | a     | all control VMs are reachable  | another VM                  | 0        |
      | a, b  | all control VMs are reachable  | a VM of another region      | 0        |
      | b     | all control VMs are reachable  | another VM                  | 0        |
      | a     | all control VMs are reachable  | another VM, without Resumes | 12       |
      | a     | one control VM is unreachable  | another VM                  | 0        |
      | a     | all control VMs are unreachable | another VM                 | 12       |

  Scenario: A new version is used once it is recorded
    Given region a with 3 entry VMs and engines of v1, v1, v1, v1
    And a route with 1 attempt and home regions a
    And the log lines of entry VMs are recorded
    When no control VM leads
    And the version of half of the engines becomes v2
    And 1 seconds pass
    And 6 streams break off after 2 events
    Then they were begun by v1
    When their clients resume them at another VM
    Then none has events of two versions, and the incomplete ones are rejected as not run
    And 0 of them are rejected as not run
    And no use of an unrecorded version is logged
    When a control VM leads again
    And 1 seconds pass
    And 40 streams are sent within 1 second
    Then engines of v2 have begun some of them

  Scenario: An unrecorded version is used if no recorded one is usable
    Given region a with 3 entry VMs and engines of v1, v1, v1, v1
    And a route with 1 attempt and home regions a
    And the log lines of entry VMs are recorded
    When no control VM leads
    And the version of half of the engines becomes v2
    And the engines of v1 leave
    And 6 more streams break off after 2 events
    Then they were begun by v2
    And each use of the unrecorded version v2 is logged

  Scenario: Origins are sent to control VMs during a release only
    Given region a with 3 entry VMs and engines of v1, v1
    And a route with 1 attempt and home regions a
    When 20 streams break off after 2 events
    Then no VM has sent origins to control VMs
    When the version of half of the engines becomes v2
    And 1 seconds pass
    Then each VM has sent them to two control VMs, each in 1 message
    When 100 streams are sent within 1 second
    Then each VM has sent at most 20 messages a second to each control VM

  Scenario: A control VM keeps a bounded number of origins
    When a control VM gets 200500 origins within 1 second
    Then it has the newest 200000 of them
    And 121 seconds later another origin is its only one

  Scenario Outline: A restart of all entry VMs never mixes versions
    Given region a with 3 entry VMs and engines of v1, v1
    And region b with 3 entry VMs and engines of v1, v1
    And a route with 1 attempt and home regions <homes>
    When 6 streams break off after 2 events
    And <event>
    And their clients resume them at <vm>
    Then none has events of two versions, and the incomplete ones are rejected as not run
    And <rejected> of them are rejected as not run

    Examples: Both versions are present and known
      | homes | event                                                | vm                                       | rejected |
      | a, b  | all VMs restart while half of the engines get version v2 | the same VM                              | 6        |
      | a, b  | all VMs restart while half of the engines get version v2 | another VM, without Resumes              | 6        |
      | b     | all VMs restart while half of the engines get version v2 | another VM                               | 6        |
      | a, b  | all VMs restart while half of the engines get version v2 | a VM of another region, without Resumes  | 6        |

    Examples: Both are present, and one is known so far
      | homes | event                                                                               | vm                          | rejected |
      | a, b  | all VMs restart and know only the engines that get v2 | the same VM                 | 6        |
      | a, b  | all VMs restart and know only the engines that get v2 | another VM, without Resumes | 6        |
      | b     | all VMs restart and know only the engines that get v2 | another VM                  | 6        |
      | a, b  | all VMs restart and know only the engines that get v2 | a VM of another region      | 6        |

    Examples: The old version is gone
      | homes | event                                        | vm                                  | rejected |
      | a, b  | all VMs restart while all engines get version v2 | the same VM                         | 6        |
      | a, b  | all VMs restart while all engines get version v2 | another VM, without Resumes         | 6        |
      | b     | all VMs restart while all engines get version v2 | another VM                          | 6        |
      | b     | all VMs restart while all engines get version v2 | another VM, without Resumes         | 6        |
      | a, b  | all VMs restart while all engines get version v2 | a VM of another region              | 6        |

    Examples: No release is in progress
      | homes | event                                                      | vm                          | rejected |
      | a, b  | all VMs restart                                            | another VM                  | 0        |
      | b     | all VMs restart                                            | another VM, without Resumes | 0        |
      | a, b  | all VMs and the control VMs restart                        | another VM                  | 0        |
      | a, b  | all VMs restart and poll a control VM of an earlier release | another VM                  | 6        |

  Scenario Outline: The history of versions survives a restart of control VMs
    Given region a with 3 entry VMs and engines of v1, v1
    And a route with 1 attempt and home regions a
    When 6 streams break off after 2 events
    And the version of all engines becomes v2
    And all VMs and the control VMs restart
    And <seconds> seconds pass
    And their clients resume them at <vm>
    Then none has events of two versions, and the incomplete ones are rejected as not run
    And 6 of them are rejected as not run

    Examples:
      | seconds | vm                          |
      | 0.1     | another VM                  |
      | 0.1     | another VM, without Resumes |
      | 100     | the same VM                 |

  Scenario: A route that moved to another service does not continue streams there
    Given region a with 3 entry VMs and engines of v1, v1
    And a route with 1 attempt and home regions a
    When 6 streams break off after 2 events
    And the route moves to another service
    And all VMs restart
    And their clients resume them at another VM
    Then none has events of two services, and the incomplete ones are rejected as not run
    And 6 of them are rejected as not run

  Scenario Outline: A route split over two services does not mix them after a restart
    Given region a with 3 entry VMs and engines of v1, v1
    And a route that shares its requests between two services
    When 20 streams break off after 2 events
    And <event>
    And their clients resume them at another VM
    Then none has events of two services, and the incomplete ones are rejected as not run
    And <rejected> of them are rejected as not run

    Examples:
      | event                               | rejected |
      | all VMs and the control VMs restart | 20       |
      | all VMs restart                     | 0        |

  Scenario: A stream goes on at the service that began it
    Given region a with 3 entry VMs and engines of v1, v1
    And a route that shares its requests between two services
    When 20 streams break off after 2 events
    And their clients resume them at another VM
    Then 20 of them are complete, and none has events of two services

  Scenario: The origin of a stream is that of the client's own organisation
    Given region a with 3 entry VMs and engines of v1, v1, v2, v2
    And a route with 1 attempt and home regions a
    When 20 streams break off after 2 events
    And another organisation sends requests with the same IDs
    And their clients resume them at another VM
    Then 20 of them are complete, and none has events of two versions

  Scenario Outline: A VM that is out of step does not mix versions
    Its instance list and history name only the old version. It may lack the
    origins of streams that have begun meanwhile.

    Given region a with <vms> entry VMs and engines of v1, v1
    And a route with 1 attempt and home regions a
    When entry VM a1 falls behind, <state>
    And engines of v2 join and those of v1 leave
    And 6 streams of v2 break off after 2 events at VM a0
    And then <event>
    And their clients resume them at <vm>
    Then none has events of two versions, and the incomplete ones are rejected as not run
    And 6 of them are rejected as not run
    And their clients are told to start the requests anew, or later

    Examples: The VM at which they began is reached, or not
      | vms | state                                  | event                     | vm                          |
      | 2   | cut off from VM a0                     | nothing happens          | another VM                  |
      | 3   | cut off from VM a0                     | nothing happens          | another VM                  |
      | 2   | cut off from VM a0                     | nothing happens          | another VM, without Resumes |
      | 2   | cut off from the control VMs           | nothing happens          | another VM                  |
      | 2   | cut off from the control VMs           | nothing happens          | another VM, without Resumes |
      | 2   | cut off from the control VMs           | a0 restarts            | another VM                  |
      | 3   | cut off from the control VMs           | a0 restarts            | another VM                  |
      | 2   | cut off from all VMs                   | nothing happens          | another VM                  |
      | 3   | cut off from all VMs                   | nothing happens          | another VM                  |
      | 3   | cut off from all VMs                   | time passes           | another VM, without Resumes |

    Examples: It was suspended, and is reached again before its view is updated
      | vms | state     | event                              | vm                          |
      | 2   | suspended | a1 wakes                        | another VM                  |
      | 2   | suspended | a1 wakes                        | another VM, without Resumes |
      | 2   | suspended | a0 restarts, and a1 wakes     | another VM                  |
      | 2   | suspended | all but a1 restart, and a1 wakes | another VM             |
      | 3   | suspended | all but a1 restart, and a1 wakes | another VM             |

  Scenario Outline: A VM that is out of step resumes streams where that is safe
    Given region a with 3 entry VMs and engines of v1, v1
    And a route with 1 attempt and home regions a
    When 6 streams break off after 2 events
    And entry VM a1 falls behind, <state>
    And then <event>
    And their clients resume them at entry VM a1
    Then none has events of two versions, and the incomplete ones are rejected as not run
    And <rejected> of them are rejected as not run

    Examples:
      | state                        | event                                   | rejected |
      | cut off from the control VMs | nothing happens                        | 0        |
      | suspended                    | all but a1 restart, and a1 wakes | 0        |
      | cut off from VM a0           | nothing happens                        | 0        |

  Scenario Outline: Streams are never mixed, whatever VM is out of step
    Entry VMs are cut off, suspended and restarted at random, and control VMs
    have no leader for a while, during releases that are 200 seconds apart, so
    that each begins with one known version.

    Given region a with 4 entry VMs and engines of v1, v1
    And a route with 1 attempt and home regions a
    When 5 streams break off in random faults in each of 8 releases, with seed <seed>
    Then each has events of one version only, or is rejected
    And at least 1 of them are complete

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: A malformed message about origins is reported as such
    Given region a with 3 entry VMs and engines of v1, v1, v2, v2
    And a route with 1 attempt and home regions a
    When VM a0 gets <message> as a <kind> of origins
    Then it is a protocol error of its sender

    Examples:
      | kind  | message                         |
      | list  | null                            |
      | list  | 7                               |
      | list  | [["o", "r"]]                    |
      | list  | [[["o", 1], ["engine", "v1"]]]  |
      | list  | [[["o", "r"], ["engine"]]]      |
      | list  | [[["o", "r"], ["engine", null]]] |
      | query | null                            |
      | query | [true]                          |
      | query | [true, "or"]                    |
      | query | [true, ["o", "r", "s"]]         |

  Scenario Outline: A control VM reports a malformed message about origins
    When a control VM gets <message> as a <kind> of origins
    Then it is a protocol error of its sender

    Examples:
      | kind  | message                          |
      | list  | null                             |
      | list  | [["o", "r"]]                     |
      | list  | [[["o", "r"], ["engine", null]]] |
      | query | null                             |
      | query | ["o", 1]                         |

  Scenario Outline: Streams go on when the VM at which they began loses its servers
    Clients abandon a stream after a pause of 8 times its objective, 4.8 seconds.

    Given region a with <vms> entry VMs and engines of <versions>
    And region b with 2 entry VMs and engines of <versions>
    And a route with 2 attempts
    When 8 streams begin at VM a0, whose connections to servers <fault> for 5 seconds
    Then all of them are complete 4.8 seconds later, without a new request
    And each stream was written by one version

    Examples:
      | vms | versions | fault       |
      | 3   | one, two | hang        |
      | 3   | one, two | are reset   |
      | 3   | one, two | are refused |
      | 3   | one, one | hang        |
      | 3   | one, one | are reset   |
      | 3   | one      | hang        |
      | 1   | one, two | hang        |
      | 1   | one, two | are reset   |
      | 1   | one, two | are refused |
