Feature: The timer service in an event loop
  The event loop measures time in milliseconds. A deadline that lies within the
  current millisecond had it poll all sockets until then: some 200 times for
  each timer on a control VM, which took most of its processor time.

  Scenario Outline: A timer wakes the event loop at most twice
    Given the timer service in the event loop of the program
    When a task sleeps 50 times for <milliseconds> ms
    Then the event loop was asked for at most 2 callbacks for each sleep
    And no sleep was shorter than <milliseconds> ms

    Examples:
      | milliseconds |
      | 0.2          |
      | 3.4          |
      | 5.0          |

  Scenario: A timer that is due before the first one is called in time
    Given the timer service in the event loop of the program
    When a callback in 20 ms is scheduled after one in 60 ms
    Then the callbacks are called in the order of their due times

  Scenario: Timers that are due at about the same time share a wake-up
    Given the timer service in the event loop of the program
    When 40 callbacks are scheduled 0.4 ms apart, each in 150 ms
    Then the event loop was asked for at most 6 callbacks in total

  Scenario Outline: A timer is neither early nor more than 10 ms late
    Given the timer service in the event loop of the program
    When timers of <milliseconds> ms are scheduled at 1000 times
    Then each of them is due at most <late> ms late, and not early

    Examples:
      | milliseconds | late |
      | 20           | 0    |
      | 100          | 9    |
      | 60000        | 9    |

  Scenario Outline: A timer that was cancelled keeps what its callback refers to
    Timers of clients that come and go quickly would keep their connections
    until they would have been due.

    Given the timer service in the event loop of the program
    When a timer of 60 s is cancelled by <means>
    Then what its callback referred to is freed at once

    Examples:
      | means                   |
      | its owner               |
      | the end of a task       |
      | the end of a time limit |
