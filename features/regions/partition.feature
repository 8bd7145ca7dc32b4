@deployment
Feature: Regions, their residents and partitions between them
  A region that is cut off keeps serving its callers, and nobody is served
  outside the region where its data must reside.

  Scenario Outline: A caller is served where its organisation resides
    When <organisation> sends a chat request through <vm>
    Then it is answered with 200 and was run in <region>

    Examples:
      | organisation | vm           | region   |
      | orchard      | piedmont-1   | piedmont |
      | orchard      | coastal-1    | piedmont |
      | orchard      | blue-ridge-1 | piedmont |
      | cidery       | coastal-1    | coastal  |
      | cidery       | piedmont-1   | coastal  |
      | press        | coastal-1    | coastal  |
      | press        | piedmont-2   | piedmont |

  Scenario: A stream passes through another region whole
    When orchard sends a streamed chat request through coastal-1
    Then the answer is whole and has status 200
    And it was run in piedmont

  Scenario: A bound organisation is never served elsewhere
    Given coastal has no usable engine
    When cidery sends a chat request through piedmont-1
    Then the error is unavailable with status 503 and run not_run
    And the backend servers received nothing

  Scenario: A VM that gets a forwarded request refuses what may not run there
    When a VM forwards a request of cidery to piedmont
    Then the forwarded request is refused as wrong_region and not_run

  Scenario: A VM waits for the table by which a request was forwarded
    When a VM forwards a request with a table from the future
    Then the forwarded request is refused as not_ready and not_run

  Scenario: A forwarded request is not forwarded again
    Given piedmont has no usable engine
    When a VM forwards a request of orchard to piedmont
    Then the forwarded request is refused as unavailable and not_run

  Scenario: Both sides of a partition serve their callers
    Given coastal is cut off from the other regions
    When each region's callers send chat requests
    Then all are answered with 200
    And orchard is served through coastal-1 as well
    When cidery sends a chat request through piedmont-1
    Then it is refused with status 503 and nothing received it
    And cidery is refused through piedmont-1 and not run

  Scenario: A call leaves a VM that has just fallen silent
    Given piedmont-1 has just fallen silent
    When a VM hands a request of orchard to piedmont-1 or else piedmont-2
    Then the forwarded request is answered by way of another VM
    And the silent connection is still thought open

  Scenario Outline: What is handed to a silent region is told honestly
    Given coastal-1 has just fallen silent
    When a VM forwards <call> of press to coastal
    Then the forwarded request is refused as peer_silent and <run>
    And coastal is tried last
    When a VM forwards a request of press to coastal
    Then it is refused again and surely not run

    Examples:
      | call           | run     |
      | a request      | unknown |
      | a registration | not_run |

  Scenario: News of a silent region ends the doubt
    Given coastal-1 has just fallen silent
    When a VM forwards a request of press to coastal
    Then coastal is tried last
    When the partition heals
    Then coastal is no longer in doubt

  Scenario: Only the majority takes edits, and the others catch up
    Given coastal is cut off from the other regions
    Then an edit through coastal-1 is not accepted
    And an edit through piedmont-2 is accepted
    When the partition heals
    Then every VM has the new rate

  Scenario Outline: A withdrawal takes effect on its side, and then everywhere
    Given coastal is cut off from the other regions
    When the key of press is withdrawn through <vm>
    Then it is refused by the VMs of <side>
    When the partition heals
    Then it is refused by every VM
    And the withdrawal is durable

    Examples:
      | vm         | side               |
      | coastal-1  | coastal            |
      | piedmont-2 | piedmont           |

  Scenario: A registration is run at most once on either side
    Given coastal is cut off from the other regions
    When orchard registers with one idempotency key through piedmont-1 and coastal-1
    Then it was run once, and refused as unavailable through coastal-1
    When the partition heals
    Then the same registration through coastal-1 gets the stored answer

  Scenario Outline: A repeat finds what became of a claimed call
    Given every plain service fails with <fault>
    When orchard registers with an idempotency key
    Then the error of the registration is <code> with run <run>
    When the plain services work again
    And orchard registers again through another VM
    Then the repeat is answered with <repeat>
    And the registration ran <times> times

    Examples:
      | fault        | code            | run     | repeat          | times |
      | reset_after  | backend_error   | unknown | outcome_unknown | 1     |
      | silent       | backend_timeout | unknown | outcome_unknown | 1     |
      | not_run      | backend_refused | not_run | 201             | 1     |
      | reset_before | backend_error   | unknown | outcome_unknown | 0     |

  Scenario: An idempotency key of another request is refused
    When orchard registers with an idempotency key
    And orchard registers something else with it
    Then the repeat is answered with idempotency_key_reused

  Scenario: Repeats at once run once
    When orchard sends 6 registrations with one idempotency key at once
    Then the registration ran 1 times
    And each was answered with 201 or in_progress
