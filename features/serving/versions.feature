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
    And all VMs restart
    And their clients resume them at another VM
    Then <count> of them are complete, and none has events of two versions

    Examples:
      | versions       | count |
      | v1, v1, v1     | 20    |
      | v1, v1, v2, v2 | 0     |

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
