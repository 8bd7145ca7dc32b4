Feature: The load of many backend servers is known to every VM of a region
  Each backend server is polled by one VM, which tells the others.

  Scenario Outline: Polls are shared out only where they are many
    Given <vms> VMs before <runners> backend servers that ran for 20 seconds
    Then each backend server was polled at most <polls> times a second
    And every VM knows each load to within 3 seconds

    Examples:
      | vms | runners | polls |
      | 3   | 10      | 6.1   |
      | 12  | 96      | 1.1   |

  Scenario Outline: Every VM learns what a backend server says
    Given 12 VMs before 96 backend servers that ran for 20 seconds
    When <event>
    Then within <seconds> seconds every VM knows that runner-7 <state>

    Examples:
      | event                                          | seconds | state      |
      | runner-7 leaves                                | 3       | is leaving |
      | the poller of runner-7 crashes, and it leaves  | 8       | is leaving |
      | the poller of runner-7 is cut off, and it leaves | 12    | is leaving |
      | the poller cannot reach runner-7, and it leaves | 8      | is leaving |
      | a third of the messages is lost, and it leaves | 8       | is leaving |

  Scenario: A lost poller is replaced by one VM
    Given 12 VMs before 96 backend servers that ran for 20 seconds
    When the poller of runner-7 is lost for 15 seconds
    Then runner-7 is polled at most 1.1 times a second from then on

  Scenario: An older report does not replace a newer one
    Given 12 VMs before 96 backend servers that ran for 20 seconds
    When runner-7 leaves and an old report that it stays comes late
    Then within 0 seconds every VM knows that runner-7 is leaving

  Scenario: News of an unknown backend server is passed over
    Given 12 VMs before 96 backend servers that ran for 20 seconds
    When a VM is told of a backend server that it does not have
    Then every VM knows each load to within 3 seconds
