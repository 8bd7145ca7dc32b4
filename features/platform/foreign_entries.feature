Feature: One foreign entry of the instance list hides nothing
  Another writer may add entries to the list. Whatever they contain, the other
  entries are followed, and the log says what was dropped and why.

  Scenario Outline: Sound entries stay in force beside an odd one
    Given an instance list with an entry <entry> between two sound ones
    When a control VM reads and stores it
    Then it stores the two sound entries
    And the log names 1 dropped entry, with a reason

    Examples:
      | entry                             |
      | with slots of 1e30                |
      | with slots of 1e308               |
      | with slots of 1e999               |
      | with slots of NaN                 |
      | with slots of 2**63               |
      | with slots of 2**64               |
      | with slots of -1                  |
      | with slots of 0.5                 |
      | with slots of true                |
      | with slots of a list              |
      | with born of 1e30                 |
      | with born of -1                   |
      | with born of 2**64                |
      | with coldLeftMs of a string       |
      | with remainingMs of a string      |
      | with remainingMs of 1e999         |
      | with port 0                       |
      | with port 99999                   |
      | with port +80                     |
      | with port -80                     |
      | with port 8_0                     |
      | with a space in its port          |
      | with Arabic digits in its port    |
      | with a port of 5,000 digits       |
      | with no host                      |
      | with a host of two lines          |
      | with a host with empty labels     |
      | with an id of two lines           |
      | with an id of 100,000 letters     |
      | with an id that is not UTF-8      |
      | with an id with half a surrogate  |
      | with an id with a raw line feed   |
      | with fields that are not UTF-8    |
      | nested 200 levels deep            |
      | nested 1,000 levels deep          |
      | nested 1,200 levels deep          |
      | nested 100,000 levels deep        |
      | nested 1,000 levels deep in a list |
      | without end                       |
      | with a string without end         |
      | with brackets of the wrong kind   |
      | with a comma too many             |
      | that is null                      |
      | that is a number out of range     |
      | that is a string with brackets    |
      | that copies a sound one within it |

  Scenario Outline: An entry with the ID of a sound one does not hide it
    Given an instance list with an entry of the ID of a sound one that <difference>
    When a control VM reads and stores it
    Then it stores the two sound entries

    Examples:
      | difference                       |
      | follows it                       |
      | precedes it with another service |
      | precedes it with an earlier start |

  Scenario Outline: A page that says nothing keeps the last list
    Given an instance list whose page is <page>
    When a control VM reads and stores it
    Then the read fails as a backend_error

    Examples:
      | page                          |
      | empty                         |
      | not JSON                      |
      | a list                        |
      | nested 100,000 levels deep    |
      | without instances             |
      | with instances in an object   |
      | with a number as next token   |
      | with a list as next token     |
      | cut short                     |

  Scenario: An odd list does not fill the log
    Given an instance list with 1,000 odd entries and two sound ones
    When a control VM reads and stores it 50 times within a minute
    Then it stores the two sound entries
    And the log has at most 20 lines of dropped entries

  Scenario: A list too large for a message between VMs keeps what is in use
    Given an instance list with 12,500 entries of another service before two sound ones
    When a control VM reads and stores it
    Then the stored list has the two sound entries and fits into a message

  Scenario: An invalid entry of another VM's list hides nothing
    A leader of an earlier release may hold entries that are invalid here.
    Given the list of another VM with an invalid entry between two sound ones
    When an entry VM unpacks it
    Then it has the two sound entries
