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
      | a route that a later version dropped is served         | CONFIG  |
      | the operator gets no configuration at the end          | CONFIG  |
      | a request with homes in another region                 | HOME    |
      | an order without an acknowledgement in calm times      | ACKS    |
      | an order without an acknowledgement after a fault      | ACKS    |
      | an order without an answer since a lost acknowledgement | ACKS   |
      | a run in an evacuated failure domain                   | EVAC    |
      | no request served 13 s after a fault                   | RECOVER |
      | a process that ended by itself                         | FAULT   |
      | a machine that used more memory than it has            | EXCESS  |
      | an invalid change that was acknowledged                | CONFIG  |
      | servers work for two of four callers that left         | GONE    |
      | servers work for two of four callers that left beside the stop of another VM | GONE |
      | an order without an acknowledgement beside the stop of an entry VM | ACKS |
      | a request runs 5.3 s after its key was taken away      | CONFIG  |
      | six requests are refused before their key was taken away | DENIED |
      | four requests reach a server after their callers left  | GONE    |
      | a call that ran is cut during a stop                   | LOST    |
      | a late call that runs to the end of a stop is cut      | LOST    |
      | a call that did not run is cut 0.3 s after it was sent | LOST    |
      | four calls that ran are cut without a stop             | LOST    |
      | four late streams are cut by the stop of a VM that runs them | LOST |

  Scenario Outline: What the rules allow is no violation
    Given the record of a soak
    When this is planted: <planted>
    Then the checks find nothing

    Examples:
      | planted                                                     |
      | a safe request that ran twice                               |
      | no answer to any read for 6 s beside a fault                |
      | an order without an acknowledgement beside a fault          |
      | an order of which the soak lost the acknowledgements        |
      | a route that was added is not served within 3 s             |
      | a route that was added is not served beside a fault         |
      | a route that a later version dropped is not served          |
      | the operator gets the configuration at the end              |
      | a request with homes in a home region                       |
      | an early call that runs to the end of a stop is cut         |
      | a call that crosses the close of its connection             |
      | three calls that ran are cut without a stop                 |
      | four streams are cut by the stop of a VM that runs them     |
      | a run in an evacuated failure domain within 5 s             |
      | servers work for one of four callers that left              |
      | a request runs 4.9 s after its key was taken away           |
      | six requests are refused after their key was taken away     |
      | servers work for two of four callers that left beside a fault |
      | servers work for two of four callers that left beside the stop of their VM |
      | three requests reach a server after their callers left      |
      | a run in an evacuated failure domain after its readmission  |

  Scenario: A schedule of faults depends on its seed only
    Then the rounds of 50 seeds are drawn twice alike and lose at most two disks

  Scenario: The events of a day are read
    Given the file of a day
    Then its events are read in their order

  Scenario Outline: A day that cannot be played as it is written is refused
    Given the file of a day
    And in it, <old> is replaced by <new>
    Then reading it fails with: <reason>

    Examples:
      | old            | new            | reason                                        |
      | disk_full      | node_slow      | cannot be played: node_slow                   |
      | renewed        | renewed race   | cannot be played: disk_full how race          |
      | wipe_after_ack | srv_crash      | cannot be played: srv_crash                   |
      | [[day]]        | [[month]]      | KeyError: 'day'                               |
      | plan =         | plan           | TOMLDecodeError: Expected '=' after a key in a key/value pair (at line 6, column 6) |

  Scenario: Responses without a length end with their connection, or a reset
    Given a backend server of the soak
    When it sends 40 responses without a length
    Then some are whole, and all others end with a reset

  Scenario: A server ends the work for a connection that is closed
    Given a backend server of the soak
    When a client closes its connection 0.1 s after a request of 5 s
    Then the server has ended its work within 0.5 s

  Scenario Outline: A day loses a third disk beside those of its final fault
    Then with <events>, at most two disks of a day are lost at the same time

    Examples:
      | events                                 |
      | two events that wipe two disks each    |
      | three events that wipe a disk each     |
      | an event that wipes two disks after it |

  Scenario Outline: A full disk refuses what the operating system would
    Given a disk that is full: <kind>
    Then on it, a write within the last block: <within>
    And on it, a write beyond the last block: <beyond>
    And on it, a sync: <first sync>
    And on it, a sync: <second sync>
    And on it, a new file: <new file>
    And on it, a rename: <rename>

    Examples:
      | kind   | within    | beyond    | first sync | second sync | new file | rename   |
      | blocks | writes 10 | fails     | succeeds   | succeeds    | succeeds | succeeds |
      | names  | writes 10 | fails     | succeeds   | succeeds    | fails    | fails    |
      | syncs  | writes 10 | writes 11 | fails      | succeeds    | succeeds | succeeds |
      | writes | fails     | fails     | fails      | fails       | fails    | fails    |

  Scenario: A write to a full disk is cut short
    Given a disk that is full: blocks
    Then on it, a write beyond the last block: writes 10
    And on it, one more write: fails
    And on it, a write after the removal of a block: writes 4096

  Scenario Outline: A loss of power keeps what was not synced, or drops more
    Given a process that <operation>
    Then after 60 losses of power, <file> is always <possible>, and once <least>

    Examples:
      | operation                             | file | possible           | least       |
      | does nothing                          | log  | s{100}             | s{100}      |
      | does nothing                          | new  | gone\|[u0]{0,100}  | gone        |
      | syncs the folder                      | new  | [u0]{0,100}        | u{0}        |
      | syncs the new file                    | new  | gone\|u{100}       | gone        |
      | syncs the new file and the folder     | new  | u{100}             | u{100}      |
      | appends 50 bytes                      | log  | s{100}[a0]{0,50}   | s{100}      |
      | appends 50 bytes and starts again     | log  | s{100}[a0]{0,50}   | s{100}      |
      | appends 50 bytes and syncs the log    | log  | s{100}a{50}        | s{100}a{50} |
      | truncates to 30 bytes                 | log  | s{100}\|s{30}      | s{100}      |
      | truncates to 30 and starts again      | log  | s{100}\|s{30}      | s{100}      |
      | truncates to 30 and syncs the log     | log  | s{30}              | s{30}       |
      | truncates, appends                    | log  | s{100}\|s{30}a{50} | s{100}      |
      | truncates, appends and syncs the log  | log  | s{30}a{50}         | s{30}a{50}  |
      | replaces the log                      | log  | s{100}\|u{100}     | s{100}      |
      | replaces the log and syncs the folder | log  | u{100}             | u{100}      |
      | removes the log                       | log  | gone\|s{100}       | s{100}      |
      | removes the log and syncs the folder  | log  | gone               | gone        |
