Feature: A control group keeps its fault tolerance while its members change
  Replicas run in simulated time, with a simulated network and disks.

  Scenario: The leader compacts its log again while it sends a snapshot
    Given a control group of 5 replicas
    When the leader compacts its log again while a follower gets a snapshot
    Then the log of that follower has no gap

  Scenario: A leader of an earlier release sends entries with a gap
    Given a control group of 5 replicas
    When a follower gets entries that do not follow its own
    Then it rejects them and its log has no gap

  Scenario: A new leader changes the members before an entry of its term is committed
    Given a control group of 5 replicas
    When a VM joins at a new leader that has committed nothing of its term
    Then the change is rejected until an entry of its term is committed

  Scenario: Two changes of the members are proposed at the same time
    Given a control group of 5 replicas
    When the leader is to remove two voters at the same time
    Then only one of the two changes is made
