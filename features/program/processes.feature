@binary
Feature: The program as separate processes
  Every VM is a process of the one-file program; processes are killed,
  frozen and stopped, and what was accepted stays in force.

  Scenario: The program starts no process
    Then no VM's process has a child

  Scenario: A request is served through separate processes
    When a caller sends a chat request to each process
    Then every process answers 200

  Scenario: A killed leader costs no accepted edit
    Given an edit was accepted
    When the leader of the control group is killed
    Then another edit is accepted through the others
    When the killed process is started again
    Then it has both edits

  Scenario: All processes killed at once lose nothing that was accepted
    Given an edit was accepted and a registration was run
    When all processes are killed and started again
    Then every process has the edit
    And the registration gets its stored answer and is not run again

  Scenario: A lost disk is filled again by the others
    Given an edit was accepted
    When a process is killed and its disk is lost
    And the killed process is started again
    Then it has the edit and becomes a voter again

  Scenario: A lost disk does not let a registration run twice
    Given an edit was accepted and a registration was run
    When the process of the region's only disk is killed and its disk lost
    And the killed process is started again
    Then the registration gets its stored answer and is not run again

  Scenario: A disk from the past does not bring the past back
    When a process is stopped, an edit accepted, and the process started
    And a process comes back with its disk from before that edit
    Then it has the edit and becomes a voter again

  Scenario: A frozen leader gives way and does not bring the past back
    Given an edit was accepted
    When the leader of the control group is frozen
    Then another edit is accepted through the others
    When the frozen process goes on
    Then it has both edits
    And there is one leader

  Scenario: SIGTERM cuts no request
    When a process is sent SIGTERM in the middle of 6 streams
    Then every stream is whole and the process exits with 0
