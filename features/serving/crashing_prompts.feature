Feature: Prompts that crash backend servers
  A segment of a prompt that crashes each engine that begins to write an
  answer on it is held back by all VMs before it has crashed them all again
  and again. The real dispatchers with emulated engines, in fake time: three
  regions, five engines, seven entry VMs, and sound requests beside.

  @known_red
  Scenario Outline: A segment under which five servers ended reaches no more servers
    Given the engines of three regions
    When requests with a crashing segment come <rate> times a second for 30 seconds
    Then at most 3 of them reach an engine later than 5 seconds after the fifth crash

    Examples:
      | rate |
      | 0.5  |
      | 2    |
      | 10   |
