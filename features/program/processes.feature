@binary
Feature: VMs as separate processes
  Each VM is a process of the built binary. Accepted edits and registrations
  are kept while processes are killed, frozen and stopped.

  Scenario: A VM starts no child process
    Then no VM has a child process

  Scenario: A request is served through separate processes
    When a client sends a chat request to each process
    Then every process responds with 200

  Scenario: An accepted edit survives a kill of the leader
    Given an edit was accepted
    When the leader of the control group is killed
    Then another edit is accepted by the other processes
    When the killed process is restarted
    Then it has both edits

  Scenario: Accepted changes survive a kill of all processes at once
    Given an edit was accepted and a registration request was run
    When all processes are killed and restarted
    Then every process has the edit
    And the repeated registration gets the stored response and is not run

  Scenario: A process with a lost disk recovers from the other replicas
    Given an edit was accepted
    When a process is killed and its disk is lost
    And the killed process is restarted
    Then it has the edit and becomes a voter again

  Scenario: A registration is not run twice after the loss of a disk
    Given an edit was accepted and a registration request was run
    When the only process with a disk in its region is killed and its disk lost
    And the killed process is restarted
    Then the repeated registration gets the stored response and is not run

  Scenario: A process with a stale disk adopts the newer state
    When the disk of a process is backed up before an edit is accepted
    And the process is restarted with the backup of its disk
    Then it has the edit and becomes a voter again

  Scenario: A leader that was frozen adopts the newer state when it resumes
    Given an edit was accepted
    When the leader of the control group is frozen
    Then another edit is accepted by the other processes
    When the frozen process is resumed
    Then it has both edits
    And there is one leader

  Scenario: SIGTERM interrupts no request
    When a process receives SIGTERM during 6 streamed responses
    Then every stream is complete and the process exits with 0
