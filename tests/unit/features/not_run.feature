Feature: A request that is reported as not run never runs

  Scenario: No entry reports "not run" for an attempt that another sealed
    Given 2 entries and 1 endpoints per service
    When messages are delayed by up to 0 ms
    And "one" requests job with key sale-1 at entry-0
    And 30 ms pass
    And entry-0 is frozen
    And "two" requests job with key sale-1 at entry-1
    And 1500 ms pass
    Then all guarantees hold

  Scenario: A request in a frozen entry does not run after a later refusal
    Given 3 entries and 1 endpoints per service
    When "first" requests job with key sale-2 at entry-2
    And 1 ms pass
    And entry-2 is killed
    And entry-0 is frozen
    And "old" requests job with key sale-2 at entry-0
    And 1000 ms pass
    And the agent of till-0 is killed
    And "new" requests job with key sale-2 at entry-1
    And 1500 ms pass
    And the agent of till-0 is restarted
    And entry-0 is thawed
    And 2000 ms pass
    Then all guarantees hold

  Scenario: The only agent cannot be reached
    Given 1 entries and 1 endpoints per service
    When the agent of till-0 is killed
    And "one" requests ping at entry-0
    And "two" requests job with key sale-3 at entry-0
    And 3000 ms pass
    Then the outcome of "one" is not-run
    And "one" ran 0 times
    And the outcome of "two" is not-run
    And "two" ran 0 times
    And all guarantees hold

  Scenario: A request arrives after its attempt was sealed
    Given 1 entries and 1 endpoints per service
    When messages are delayed by up to 900 ms
    And "one" requests job with key sale-4 at entry-0
    And 60 ms pass
    And every open answer stream breaks
    And 6000 ms pass
    Then all guarantees hold

  Scenario: A draining agent refuses a job, and another endpoint runs it
    Given 1 entries and 2 endpoints per service
    When the agent of till-0 receives SIGTERM
    And "one" requests job with key sale-5 at entry-0
    And 1000 ms pass
    Then the result of "one" is COMPLETE
    And "one" ran 1 times
    And all guarantees hold

  Scenario: All agents drain
    Given 1 entries and 2 endpoints per service
    When the agent of till-0 receives SIGTERM
    And the agent of till-1 receives SIGTERM
    And "one" requests ping at entry-0
    And 1000 ms pass
    Then the outcome of "one" is not-run
    And "one" ran 0 times
    And all guarantees hold

  Scenario: The deadline passes while the agent is frozen
    Given 1 entries and 1 endpoints per service
    When agent of till-0 is frozen
    And "one" requests job with key sale-6 at entry-0
    And 6000 ms pass
    Then the outcome of "one" is unknown
    When agent of till-0 is thawed
    And 3000 ms pass
    Then "one" ran 0 times
    And all guarantees hold
