Feature: A silent connection is broken off, a slow caller's is not
  Time counts only while the gateway waits for the backend server.

  Scenario Outline: Who is silent
    Given a connection that may be silent for 10 seconds
    When on that connection <events>
    Then that connection is <state>

    Examples:
      | events                                  | state      |
      | 9 seconds pass                          | kept       |
      | 11 seconds pass                         | broken off |
      | a chunk comes every 9 seconds, 5 times  | kept       |
      | the caller takes a chunk for 60 seconds | kept       |
      | the caller took its time and 11 seconds pass | broken off |
      | the answer ended and 60 seconds pass    | kept       |
