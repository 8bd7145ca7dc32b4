Feature: The log of a process

  Scenario: Logging goes on after the disk of the log was full
    Given a log on a full disk
    When 3 messages are logged
    And the disk takes bytes again and 2 messages are logged
    Then the log says that 3 lines were dropped since there was no space
    And the log has the last 2 messages

  Scenario: A line that was cut short does not swallow the next one
    Given a log whose next write is cut short after 10 bytes
    When 1 message is logged
    And the disk takes bytes again and 2 messages are logged
    Then the log says that 1 line was dropped since there was no space
    And the log has the last 2 messages
