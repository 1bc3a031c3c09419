Feature: A caller receives the complete answer to its own request

  Scenario: Items are delayed, reordered and duplicated
    Given 2 entries and 2 endpoints per service
    When messages are delayed by up to 400 ms
    And every message arrives twice
    And "one" requests completions at entry-0
    And "two" requests completions at entry-1
    And 4000 ms pass
    Then the result of "one" is COMPLETE
    And the result of "two" is COMPLETE
    And all guarantees hold

  Scenario: The agent is killed during a stream and another resumes it
    Given 1 entries and 2 endpoints per service
    When "one" requests completions at entry-0
    And 45 ms pass
    And the agent of llm-0 is killed
    And 2000 ms pass
    Then the result of "one" is COMPLETE
    And all guarantees hold

  Scenario: Every answer stream breaks twice
    Given 1 entries and 2 endpoints per service
    When "one" requests completions at entry-0
    And 40 ms pass
    And every open answer stream breaks
    And 60 ms pass
    And every open answer stream breaks
    And 3000 ms pass
    Then the result of "one" is COMPLETE
    And all guarantees hold

  Scenario: The agent is frozen during a stream
    Given 1 entries and 1 endpoints per service
    When "one" requests completions at entry-0
    And 40 ms pass
    And agent of llm-0 is frozen
    And 1000 ms pass
    And agent of llm-0 is thawed
    And 1000 ms pass
    Then the result of "one" is COMPLETE
    And all guarantees hold

  Scenario: The zone's internal network fails during a stream
    Given 1 entries and 2 endpoints per service
    When "one" requests completions at entry-0
    And 40 ms pass
    And zone-a is partitioned from zone-a
    And 3000 ms pass
    Then the result of "one" is COMPLETE
    And all guarantees hold

  Scenario: No endpoint is left to resume a stream
    Given 1 entries and 1 endpoints per service
    When "one" requests completions at entry-0
    And 45 ms pass
    And the agent of llm-0 is killed
    And 6000 ms pass
    Then the result of "one" is ANSWER_CUT
    And the outcome of "one" is ran
    And all guarantees hold

  Scenario: The platform is down during a stream
    Given 1 entries and 1 endpoints per service
    When the platform goes down
    And 200 ms pass
    And "one" requests completions at entry-0
    And 1000 ms pass
    Then the result of "one" is COMPLETE
    And all guarantees hold
