Feature: Prompts that crash backend servers
  A segment of a prompt that crashes each engine that begins to write an
  answer on it is held back by all VMs before it has crashed them all again
  and again. The real dispatchers with emulated engines, in fake time: three
  regions, five engines, seven entry VMs, and sound requests beside.

  Scenario Outline: A segment under which five servers ended reaches no more servers
    Given the engines of three regions
    When requests with a crashing segment come <rate> times a second for 30 seconds
    Then at most 3 of them reach an engine later than 5 seconds after the fifth crash
    And just the crashing segment is held back
    And 90 percent of the sound requests of the last 10 seconds are on time

    Examples:
      | rate |
      | 0.5  |
      | 2    |
      | 10   |

  Scenario Outline: The end of a response does not hide that its server ended
    Given the engines of three regions, whose responses end with their connection
    When requests with a crashing segment come <rate> times a second for 30 seconds
    Then at most 3 of them reach an engine later than 5 seconds after the fifth crash
    And just the crashing segment is held back
    And 90 percent of the sound requests of the last 10 seconds are on time

    Examples:
      | rate |
      | 0.5  |
      | 10   |

  Scenario Outline: Sound requests that are rare are not blamed for what they ran beside
    Given the engines of three regions
    And sound requests with the segments <segments> every <seconds> seconds
    When requests with a crashing segment come 2 times a second for 30 seconds
    Then just the crashing segment is held back
    And 90 percent of the sound requests of the last 10 seconds are on time

    Examples:
      | segments     | seconds |
      | rare         | 1.5     |
      | rare         | 0.3     |
      | session, own | 0.3     |

  Scenario: A first segment that only crashing requests had is not held back by itself
    Given the engines of three regions
    And crashing requests whose first segment no other request has
    When requests with a crashing segment come 2 times a second for 15 seconds
    And sound requests with that first segment come for 10 seconds
    Then 90 percent of them are on time

  Scenario Outline: Ordinary crashes hold nothing back
    Given the engines of three regions
    When sound requests come for 20 seconds while <crashes>
    Then nothing is held back

    Examples:
      | crashes                                          |
      | an engine crashes every 2 seconds                |
      | all engines crash at once every 5 seconds        |
      | all engines crash one after the other, 0.3 s apart |
      | connections break every 0.2 seconds              |
      | engines are replaced every 2 seconds             |

  Scenario Outline: Requests that were sent to ended servers are not blamed
    Given the engines of three regions
    And kept connections to crashed engines
    And sound requests with the segments <segments> every <seconds> seconds
    When sound requests come for 20 seconds while all engines crash at once every 5 seconds
    Then nothing is held back

    Examples:
      | segments     | seconds |
      | rare         | 4.9     |
      | rare         | 0.7     |
      | session, own | 0.3     |

  Scenario Outline: Servers that end together, before any answer has begun, blame nobody
    Given the engines of three regions, which need <slowdown> times as long
    And sound requests with the segments <segments> every <seconds> seconds
    When sound requests come for 20 seconds while all engines of a region crash at once every 4 seconds
    Then nothing is held back

    Examples:
      | slowdown | segments     | seconds |
      | 1        | rare         | 0.7     |
      | 100      | rare         | 0.7     |
      | 100      | session, own | 0.3     |

  Scenario: A response that breaks off while its server goes on is sound
    Given the engines of three regions
    And sound requests with the segments rare every 1 seconds
    When sound requests come for 20 seconds while connections break and engines crash at times
    Then nothing is held back

  Scenario Outline: What is held back stays so
    Given the engines of three regions
    When requests with a crashing segment come 2 times a second for 12 seconds
    And <event>
    And requests with a crashing segment come 2 times a second for 10 seconds
    Then at most 3 of them reach an engine later than 5 seconds after the fifth crash
    And just the crashing segment is held back

    Examples:
      | event                                  |
      | all VMs restart                        |
      | another control VM leads               |
      | all VMs restart and another one leads  |

  Scenario Outline: Ends are counted over a change of leader
    Given the engines of three regions
    When <event> after 2 crashes
    And requests with a crashing segment come 2 times a second for 15 seconds
    Then at most 6 engines have crashed
    And just the crashing segment is held back

    Examples:
      | event                            |
      | another control VM leads         |
      | no control VM leads for 1 second |

  Scenario: A request that a VM of an earlier release forwards is held back
    Given the engines of three regions
    When requests with a crashing segment come 2 times a second for 12 seconds
    And a VM of an earlier release forwards one
    Then it is rejected as not run, with the hold and when to come back

  Scenario: A lifted hold is made again only after further crashes
    Given the engines of three regions
    When requests with a crashing segment come 2 times a second for 12 seconds
    And the hold is lifted
    Then the next request with the segment reaches an engine
    And the segment is held back again after 3 more crashes

  Scenario Outline: Ends are attributed to what they have in common
    A server and its time, and the segments of the requests that it
    interrupted, each sent the given seconds before.

    When servers end: <ends>
    Then <culprits> is to blame

    Examples: One server after the other
      | ends                                                           | culprits |
      | A 1.0 x+a 0.1, B 2.0 x+b 0.1, C 3.0 x+c 0.1                    | x        |
      | A 1.0 x+a 0.1, B 2.0 x+b 0.1, C 3.0 y+c 0.1                    | nothing  |
      | A 1.0 x+h 0.1, B 2.0 x+h 0.1 h+b 0.1, C 3.0 x+h 0.1            | x+h      |
      | A 1.0 x+a 0.1, B 1.2 x+a 0.15, C 1.4 x+a 0.15                  | x+a      |
      | A 1.0 x+a 0.1, B 1.2 x+b 0.5, C 1.4 x+c 0.8                    | nothing  |
      | A 1.0 x+a 0.1, B 1.006 x+a 0.006, C 2.0 x+b 0.1                | x        |
      | A 1.0 x+a 0.1, B 2.0 x+b 0.001, C 3.0 x+c 0.1                  | nothing  |

    Examples: Several servers together
      | ends                                                           | culprits |
      | A 1.0 x+a 0.1, B 1.0 y 0.1, A 4.0 x+b 0.1, C 4.01 y 0.1, B 7.0 x+c 0.1, C 7.0 z 0.2 | nothing |
      | A 1.0 x+a 0.1, B 1.06 y 0.1, A 4.0 x+b 0.1, C 4.05 z 0.1, B 7.0 x+c 0.1, C 7.06 z 0.2 | nothing |
      | A 1.0 x+a 0.1, B 1.06 x+b 0.1, A 4.0 x+b 0.1, C 7.0 x+c 0.1    | x        |

  Scenario Outline: Traits that were sound shortly before are not blamed at three ends
    When <traits> were sound at 0.9, and servers end: <ends>
    Then <culprits> is to blame

    Examples:
      | traits | ends                                                                          | culprits |
      | h      | A 1.0 h+a 0.1, B 1.3 h+b 0.1, C 1.6 h+c 0.1                                   | nothing  |
      | h      | A 1.0 h+a 0.1, B 1.3 h+b 0.1, C 1.6 h+c 0.1, D 1.9 h+d 0.1, E 2.2 h+e 0.1     | h        |
      | h      | A 1.0 h+x 0.1, B 1.3 h+x+b 0.1, C 1.6 h+x+c 0.1                               | x        |
