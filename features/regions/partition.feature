@deployment
Feature: Regions, residency and network partitions
  A region that is cut off keeps serving its clients, and no request of a
  bound organisation runs outside its home region.

  Scenario Outline: A request runs in the home region, or else in the local one
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

  Scenario: A stream from another region is forwarded completely
    When orchard sends a streamed chat request through coastal-1
    Then the answer is whole and has status 200
    And it was run in piedmont

  Scenario: A bound organisation is served only in its home region
    Given coastal has no usable engine
    When cidery sends a chat request through piedmont-1
    Then the error is unavailable with status 503 and run not_run
    And the backend servers received nothing

  Scenario: A VM rejects a forwarded request that may not run in its region
    When a VM forwards a request of cidery to piedmont
    Then the forwarded request is rejected as wrong_region and not_run

  Scenario: A VM waits for the table revision that a request was routed by
    When a VM forwards a request with a future table revision
    Then the forwarded request is rejected as not_ready and not_run

  Scenario: A VM rejects a forwarded request that it has no room for
    Given the VMs of piedmont have no memory for requests
    When a VM forwards a request of orchard to piedmont
    Then the forwarded request is rejected as overloaded and not_run

  Scenario: A forwarded request is not forwarded again
    Given piedmont has no usable engine
    When a VM forwards a request of orchard to piedmont
    Then the forwarded request is rejected as unavailable and not_run

  Scenario: Both sides of a partition serve their clients
    Given coastal is cut off from the other regions
    When each region's clients send chat requests
    Then all are answered with 200
    And orchard is served through coastal-1 as well
    When cidery sends a chat request through piedmont-1
    Then it is rejected with status 503 and received by no backend server
    And cidery is rejected through piedmont-1 and not run

  Scenario: A call moves to another VM if the first one does not respond
    Given piedmont-1 has just become unresponsive
    When a VM sends a request of orchard to piedmont-1 or else piedmont-2
    Then the forwarded request is answered through another VM
    And the connection to the unresponsive VM is still open

  Scenario Outline: A call to an unresponsive region says if it may have run
    Given coastal-1 has just become unresponsive
    When a VM forwards <call> of press to coastal
    Then the forwarded request is rejected as peer_silent and <run>
    And coastal is tried last
    When a VM forwards a request of press to coastal
    Then it is rejected again and certainly not run

    Examples:
      | call           | run     |
      | a request      | unknown |
      | a registration | not_run |

  Scenario: A region that responds again is no longer suspected
    Given coastal-1 has just become unresponsive
    When a VM forwards a request of press to coastal
    Then coastal is tried last
    When the partition heals
    Then coastal is no longer suspected

  Scenario: Only the majority side accepts edits, and the other side catches up
    Given coastal is cut off from the other regions
    Then an edit through coastal-1 is not accepted
    And an edit through piedmont-2 is accepted
    When the partition heals
    Then every VM has the new rate

  Scenario Outline: A withdrawal applies to one side, and after healing to both
    Given coastal is cut off from the other regions
    When the key of press is withdrawn through <vm>
    Then the key is rejected by the VMs of <side>
    When the partition heals
    Then the key is rejected by every VM
    And the withdrawal is durable

    Examples:
      | vm         | side               |
      | coastal-1  | coastal            |
      | piedmont-2 | piedmont           |

  Scenario: A registration runs at most once in a partitioned deployment
    Given coastal is cut off from the other regions
    When orchard registers with one idempotency key through piedmont-1 and coastal-1
    Then it was run once, and rejected as unavailable through coastal-1
    When the partition heals
    Then the same registration through coastal-1 gets the stored response

  Scenario Outline: A repeat finds what became of a claimed call
    Given every plain service fails with <fault>
    When orchard registers with an idempotency key
    Then the error of the registration is <code> with run <run>
    When the plain services work again
    And orchard registers again through another VM
    Then the retry is answered with <retry>
    And the registration ran <times> times

    Examples:
      | fault        | code            | run     | retry           | times |
      | reset_after  | backend_error   | unknown | outcome_unknown | 1     |
      | silent       | backend_timeout | unknown | outcome_unknown | 1     |
      | not_run      | backend_refused | not_run | 201             | 1     |
      | reset_before | backend_error   | unknown | outcome_unknown | 0     |

  Scenario: An idempotency key is rejected for a different request
    When orchard registers with an idempotency key
    And orchard registers something else with the same key
    Then the retry is answered with idempotency_key_reused

  Scenario: Concurrent requests with the same idempotency key run once
    When orchard sends 6 concurrent registrations with one idempotency key
    Then the registration ran 1 times
    And each was answered with 201 or in_progress
