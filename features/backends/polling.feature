Feature: Load polling of many backend servers
  Each backend server is polled by one VM, which sends the reports to the
  other VMs of the region.

  Scenario Outline: Polls are divided among the VMs only for many backend servers
    Given <vms> VMs with <servers> backend servers that ran for 20 seconds
    Then each backend server was polled at most <polls> times a second
    And no load report on any VM is older than 3 seconds

    Examples:
      | vms | servers | polls |
      | 3   | 10      | 6.1   |
      | 12  | 96      | 1.1   |

  Scenario Outline: Every VM receives the state of a backend server
    Given 12 VMs with 96 backend servers that ran for 20 seconds
    When <event>
    Then within <seconds> seconds every VM sees that runner-7 <state>

    Examples:
      | event                                          | seconds | state      |
      | runner-7 leaves                                | 3       | is leaving |
      | the poller of runner-7 crashes, and it leaves  | 8       | is leaving |
      | the poller of runner-7 is cut off, and it leaves | 12    | is leaving |
      | the poller cannot reach runner-7, and it leaves | 8      | is leaving |
      | a third of the messages is lost, and it leaves | 8       | is leaving |

  Scenario: A crashed poller is replaced by one VM
    Given 12 VMs with 96 backend servers that ran for 20 seconds
    When the poller of runner-7 crashed 15 seconds ago
    Then runner-7 is polled at most 1.1 times a second from then on

  Scenario: An older report does not replace a newer one
    Given 12 VMs with 96 backend servers that ran for 20 seconds
    When runner-7 leaves and an older report that it does not is delivered late
    Then within 0 seconds every VM sees that runner-7 is leaving

  Scenario: Reports of an unknown backend server are ignored
    Given 12 VMs with 96 backend servers that ran for 20 seconds
    When a VM receives a report of a backend server that it does not have
    Then no load report on any VM is older than 3 seconds
