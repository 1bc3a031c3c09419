Feature: A caller receives the whole answer to its own request (P2)

  Scenario: Items are late, out of order and doubled
    Given 2 entries and 2 endpoints a service
    When messages take up to 400 ms
    And every message arrives twice
    And "one" asks for completions at entry-0
    And "two" asks for completions at entry-1
    And 4000 ms pass
    Then "one" is answered whole
    And "two" is answered whole
    And the history is sound

  Scenario: The agent dies in the middle of a stream and another resumes it
    Given 1 entries and 2 endpoints a service
    When "one" asks for completions at entry-0
    And 45 ms pass
    And the agent of llm-0 is killed
    And 2000 ms pass
    Then "one" is answered whole
    And the history is sound

  Scenario: Every leg breaks, twice
    Given 1 entries and 2 endpoints a service
    When "one" asks for completions at entry-0
    And 40 ms pass
    And every open leg breaks
    And 60 ms pass
    And every open leg breaks
    And 3000 ms pass
    Then "one" is answered whole
    And the history is sound

  Scenario: The agent is frozen in the middle of a stream
    Given 1 entries and 1 endpoints a service
    When "one" asks for completions at entry-0
    And 40 ms pass
    And agent of llm-0 is frozen
    And 1000 ms pass
    And agent of llm-0 is thawed
    And 1000 ms pass
    Then "one" is answered whole
    And the history is sound

  Scenario: The zone is cut in the middle of a stream
    Given 1 entries and 2 endpoints a service
    When "one" asks for completions at entry-0
    And 40 ms pass
    And zone-a is cut from zone-a
    And 3000 ms pass
    Then "one" is answered whole
    And the history is sound

  Scenario: No endpoint is left to resume a stream
    Given 1 entries and 1 endpoints a service
    When "one" asks for completions at entry-0
    And 45 ms pass
    And the agent of llm-0 is killed
    And 6000 ms pass
    Then "one" is answered ANSWER_CUT
    And "one" is told ran
    And the history is sound

  Scenario: The platform is down during a stream
    Given 1 entries and 1 endpoints a service
    When the platform goes down
    And 200 ms pass
    And "one" asks for completions at entry-0
    And 1000 ms pass
    Then "one" is answered whole
    And the history is sound
