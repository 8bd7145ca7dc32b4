Feature: An idle backend connection times out, that of a slow caller does not
  Time counts only while the gateway waits for the backend server.

  Scenario Outline: Idle timeout of a connection
    Given a connection with an idle timeout of 10 seconds
    When on that connection <events>
    Then that connection is <state>

    Examples:
      | events                                       | state  |
      | 9 seconds pass                               | open   |
      | 11 seconds pass                              | closed |
      | a chunk arrives every 9 seconds, 5 times     | open   |
      | the caller reads a chunk for 60 seconds      | open   |
      | the caller was slow and then 11 seconds pass | closed |
      | the response ended and 60 seconds pass       | open   |
