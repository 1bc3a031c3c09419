Feature: A draining process gets no new calls and completes its own

  Scenario: An operator drains an endpoint
    Given 2 entries and 2 endpoints per service
    When an operator drains till-0
    And 40 pings are sent to entry-0 over 4000 ms
    And 1000 ms pass
    Then nothing started at till-0 more than 1000 ms after its drain began
    And something started at till-1
    And all guarantees hold

  Scenario: The host list marks a host as leaving
    Given 2 entries and 2 endpoints per service
    When the host of till-0 is listed as leaving
    And 40 pings are sent to entry-0 over 4000 ms
    Then nothing started at till-0 more than 1000 ms after its drain began
    And all guarantees hold

  Scenario: One entry cannot reach the platform, another informs the agent
    Given 2 entries and 2 endpoints per service
    When zone-a is partitioned from platform
    And an operator drains till-0
    And 40 pings are sent to entry-0 over 4000 ms
    Then nothing started at till-0 more than 1000 ms after its drain began
    And all guarantees hold

  Scenario: An entry is frozen while an endpoint is drained
    Given 2 entries and 2 endpoints per service
    When entry-0 is frozen
    And an operator drains till-0
    And 40 pings are sent to entry-0 over 2000 ms
    And entry-0 is thawed
    And 1000 ms pass
    Then nothing started at till-0 more than 1000 ms after its drain began
    And all guarantees hold

  Scenario: The platform goes down just after the drain was accepted
    Given 2 entries and 2 endpoints per service
    When an operator drains till-0
    And 100 ms pass
    And the platform goes down
    And 40 pings are sent to entry-1 over 2000 ms
    Then nothing started at till-0 more than 1000 ms after its drain began
    And all guarantees hold

  Scenario: Messages are delayed and duplicated during a drain
    Given 2 entries and 2 endpoints per service
    When messages are delayed by up to 300 ms
    And every message arrives twice
    And an operator drains till-0
    And 40 pings are sent to entry-0 over 4000 ms
    Then nothing started at till-0 more than 2000 ms after its drain began
    And all guarantees hold

  Scenario: Streams in flight complete after the agent receives SIGTERM
    Given 1 entries and 1 endpoints per service
    When "one" requests completions at entry-0
    And "two" requests completions at entry-0
    And 45 ms pass
    And the agent of llm-0 receives SIGTERM
    And 1000 ms pass
    Then the result of "one" is COMPLETE
    And the result of "two" is COMPLETE
    And all guarantees hold

  Scenario: Calls in flight complete after the entry receives SIGTERM
    Given 2 entries and 1 endpoints per service
    When "one" requests completions at entry-0
    And "two" requests job with key sale-1 at entry-0
    And 20 ms pass
    And entry-0 is shutting down
    And "three" requests ping at entry-0
    And 1000 ms pass
    Then the result of "one" is COMPLETE
    And the result of "two" is COMPLETE
    And the result of "three" is DRAINING
    And the outcome of "three" is not-run
    And "three" may be retried later
    And all guarantees hold

  Scenario: SIGTERM to the agent while messages are delayed and duplicated
    Given 1 entries and 1 endpoints per service
    When messages are delayed by up to 100 ms
    And every message arrives twice
    And "one" requests completions at entry-0
    And 250 ms pass
    And the agent of llm-0 receives SIGTERM
    And 3000 ms pass
    Then the result of "one" is COMPLETE
    And all guarantees hold

  Scenario: The agent receives SIGTERM and is frozen for a while
    Given 1 entries and 1 endpoints per service
    When "one" requests completions at entry-0
    And 45 ms pass
    And the agent of llm-0 receives SIGTERM
    And agent of llm-0 is frozen
    And 1000 ms pass
    And agent of llm-0 is thawed
    And 1000 ms pass
    Then the result of "one" is COMPLETE
    And all guarantees hold

  Scenario: The entry receives SIGTERM while the platform is down
    Given 2 entries and 1 endpoints per service
    When the platform goes down
    And 100 ms pass
    And "one" requests completions at entry-0
    And "two" requests job with key ticket at entry-0
    And 20 ms pass
    And entry-0 is shutting down
    And 2000 ms pass
    Then the result of "one" is COMPLETE
    And the result of "two" is COMPLETE
    And all guarantees hold

  Scenario: Agent and entry receive SIGTERM and their zone is partitioned
    Given 2 entries and 2 endpoints per service
    When "one" requests completions at entry-0
    And 45 ms pass
    And the agent of llm-0 receives SIGTERM
    And entry-0 is shutting down
    And zone-a is partitioned from zone-b
    And zone-a is partitioned from platform
    And 2000 ms pass
    Then the result of "one" is COMPLETE
    And all guarantees hold

  Scenario: An agent receives SIGTERM while partitioned from the platform
    Given 2 entries and 2 endpoints per service
    When zone-a is partitioned from platform
    And zone-a is partitioned from zone-b
    And 300 ms pass
    And the agent of till-0 receives SIGTERM
    And 20 pings are sent to entry-0 over 2000 ms
    Then nothing started at till-0 more than 100 ms after its drain began
