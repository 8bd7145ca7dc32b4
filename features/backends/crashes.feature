Feature: Prompts under which engines end
  An engine that crashes drops its connections and refuses new ones. A message
  that crashes each engine that begins to answer it is held back by all VMs.

  @deployment
  Scenario: A message under which three engines ended is rejected at every VM
    Given each engine crashes on a message with melon
    When callers send prompts with melon until one is held back
    Then at most 6 of them have reached an engine
    And through every VM a prompt with melon is rejected as prompt_held
    And through every VM a prompt without it is answered
    And an operator of every VM sees what is held back, since when and why
    When an operator lifts the hold at piedmont-1
    Then a prompt with melon reaches an engine through coastal-1

  @deployment
  Scenario: A plain call under which three servers ended is rejected at every VM
    Given each plain service crashes on an entry with melon
    When a caller sends the entry with melon until it is held back
    Then at most 6 of them have reached a plain service
    And through every VM the entry is rejected as request_held
    And through every VM an entry of pears is registered
    And an operator sees the digest of the entry, and neither its body nor its key

  @deployment
  Scenario: A VM that all servers refuse takes none of them for ended
    Given no VM has seen the end of an engine
    When a prompt runs in piedmont and all servers there reset and refuse connections
    Then no VM knows of the end of an engine

  Scenario Outline: VMs learn of each other's ends
    Given 3 VMs that exchange what they know of ends
    When 3 engines end under prompts with a message, each seen by another VM
    And for the guards <event>
    Then all 3 VMs hold back <what> within 6 seconds

    Examples:
      | event                                         | what        |
      | nothing happens                               | the message |
      | VM 1 restarts                                 | the message |
      | VM 1 cannot be reached for 3 seconds          | the message |
      | VM 2 has a sound response with the message    | nothing     |
      | an operator lifts what is held back at VM 3   | nothing     |
      | VM 1 restarts after an operator lifts it      | nothing     |

  Scenario Outline: Malformed facts on ends are an error of their sender
    Given 3 VMs that exchange what they know of ends
    When VM 1 gets <message> as facts on ends
    Then the facts are a protocol error of their sender

    Examples:
      | message                                      |
      | null                                         |
      | []                                           |
      | [[], [], [["x", 1, false]]]                  |
      | [[["s", "e", "x", []]], [], []]              |
      | [[], [["s", "m"]], []]                       |

  Scenario: Facts on ends are bounded
    Given 3 VMs that exchange what they know of ends
    When VM 1 learns of 300 ends, 30000 sound messages and 300 holds
    Then it keeps 100 ends, 20000 sound messages and 256 holds

  Scenario: A call that a VM of an earlier release forwards has its segments
    When a VM of an earlier release forwards a prompt of two messages
    Then the call has the segments of both
