Feature: Request cost and remaining work of servers
  Backend servers may share their machines, so that the same work takes
  different times on them, and requests that look alike cost different amounts
  of work.

  Scenario Outline: The load of servers that report a slowdown is known
    The load of every server that sent a fourth number used to be dropped
    without a log line, so that its queue looked empty.

    When a response has the instance load <value>
    Then its load is <load>, and <messages> invalid load is logged

    Examples:
      | value               | load        | messages |
      | 3,0,8               | 3 0 8 none  | no       |
      | 3,0,8,100           | 3 0 8 1.0   | no       |
      | 3, 2, 8, 240        | 3 2 8 2.4   | no       |
      | 3,0,8,62.5          | 3 0 8 0.625 | no       |
      | 3,0,8,150,7         | 3 0 8 1.5   | no       |
      | 3,0,8,150,unknown   | 3 0 8 1.5   | no       |
      | 3,0                 | unknown     | 1        |
      | 3,0,8,              | unknown     | 1        |
      | 3,0,8,0             | unknown     | 1        |
      | 3,0,8,-50           | unknown     | 1        |
      | 3,0,8,nan           | unknown     | 1        |
      | 3,0,8,inf           | unknown     | 1        |
      | -1,0,8              | unknown     | 1        |
      | 3,many,8,100        | unknown     | 1        |
      | 99999999999999,0,8  | unknown     | 1        |
