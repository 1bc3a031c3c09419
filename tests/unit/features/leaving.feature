Feature: A leaving endpoint gets no new work and cuts none (P5, P6)

  Scenario: An operator drains an endpoint
    Given 2 entries and 2 endpoints a service
    When till-0 is drained by an operator
    And 40 pings are sent to entry-0 over 4000 ms
    And 1000 ms pass
    Then nothing started at till-0 later than 1000 ms after it left
    And something started at till-1
    And the history is sound

  Scenario: The host list says that a host leaves
    Given 2 entries and 2 endpoints a service
    When the host of till-0 is listed as leaving
    And 40 pings are sent to entry-0 over 4000 ms
    Then nothing started at till-0 later than 1000 ms after it left
    And the history is sound

  Scenario: One entry is cut from the platform, another tells the agent
    Given 2 entries and 2 endpoints a service
    When zone-a is cut from platform
    And till-0 is drained by an operator
    And 40 pings are sent to entry-0 over 4000 ms
    Then nothing started at till-0 later than 1000 ms after it left
    And the history is sound

  Scenario: An entry is frozen while an endpoint is drained
    Given 2 entries and 2 endpoints a service
    When entry-0 is frozen
    And till-0 is drained by an operator
    And 40 pings are sent to entry-0 over 2000 ms
    And entry-0 is thawed
    And 1000 ms pass
    Then nothing started at till-0 later than 1000 ms after it left
    And the history is sound

  Scenario: The platform goes down just after the drain was accepted
    Given 2 entries and 2 endpoints a service
    When till-0 is drained by an operator
    And 100 ms pass
    And the platform goes down
    And 40 pings are sent to entry-1 over 2000 ms
    Then nothing started at till-0 later than 1000 ms after it left
    And the history is sound

  Scenario: Messages are late and doubled during a drain
    Given 2 entries and 2 endpoints a service
    When messages take up to 300 ms
    And every message arrives twice
    And till-0 is drained by an operator
    And 40 pings are sent to entry-0 over 4000 ms
    Then nothing started at till-0 later than 2000 ms after it left
    And the history is sound

  Scenario: Streams in flight outlive the agent's SIGTERM
    Given 1 entries and 1 endpoints a service
    When "one" asks for completions at entry-0
    And "two" asks for completions at entry-0
    And 45 ms pass
    And the agent of llm-0 gets SIGTERM
    And 1000 ms pass
    Then "one" is answered whole
    And "two" is answered whole
    And the history is sound

  Scenario: Calls in flight outlive the entry's SIGTERM
    Given 2 entries and 1 endpoints a service
    When "one" asks for completions at entry-0
    And "two" asks for job with key sale-1 at entry-0
    And 20 ms pass
    And entry-0 is shutting down
    And "three" asks for ping at entry-0
    And 1000 ms pass
    Then "one" is answered whole
    And "two" is answered whole
    And "three" is answered DRAINING
    And "three" is told not-run
    And "three" may come back later
    And the history is sound

  Scenario: SIGTERM at the agent while messages are late and doubled
    Given 1 entries and 1 endpoints a service
    When messages take up to 100 ms
    And every message arrives twice
    And "one" asks for completions at entry-0
    And 250 ms pass
    And the agent of llm-0 gets SIGTERM
    And 3000 ms pass
    Then "one" is answered whole
    And the history is sound

  Scenario: SIGTERM at the agent, which is then frozen for a while
    Given 1 entries and 1 endpoints a service
    When "one" asks for completions at entry-0
    And 45 ms pass
    And the agent of llm-0 gets SIGTERM
    And agent of llm-0 is frozen
    And 1000 ms pass
    And agent of llm-0 is thawed
    And 1000 ms pass
    Then "one" is answered whole
    And the history is sound

  Scenario: SIGTERM at the entry while the platform is down
    Given 2 entries and 1 endpoints a service
    When the platform goes down
    And 100 ms pass
    And "one" asks for completions at entry-0
    And "two" asks for job with key ticket at entry-0
    And 20 ms pass
    And entry-0 is shutting down
    And 2000 ms pass
    Then "one" is answered whole
    And "two" is answered whole
    And the history is sound

  Scenario: SIGTERM at the agent and at the entry, and the zone is cut
    Given 2 entries and 2 endpoints a service
    When "one" asks for completions at entry-0
    And 45 ms pass
    And the agent of llm-0 gets SIGTERM
    And entry-0 is shutting down
    And zone-a is cut from zone-b
    And zone-a is cut from platform
    And 2000 ms pass
    Then "one" is answered whole
    And the history is sound

  Scenario: An agent gets SIGTERM while its zone is cut from the platform
    Given 2 entries and 2 endpoints a service
    When zone-a is cut from platform
    And zone-a is cut from zone-b
    And 300 ms pass
    And the agent of till-0 gets SIGTERM
    And 20 pings are sent to entry-0 over 2000 ms
    Then nothing started at till-0 later than 100 ms after it left
