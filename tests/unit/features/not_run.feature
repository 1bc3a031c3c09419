Feature: What is refused as not run truly does not run (P3)

  Scenario: A follower of a sealed attempt is not told "not run"
    Given 2 entries and 1 endpoints a service
    When messages take up to 0 ms
    And "one" asks for job with key sale-1 at entry-0
    And 30 ms pass
    And entry-0 is frozen
    And "two" asks for job with key sale-1 at entry-1
    And 1500 ms pass
    Then the history is sound

  Scenario: A request that waited in a frozen entry does not run later
    Given 3 entries and 1 endpoints a service
    When "first" asks for job with key sale-2 at entry-2
    And 1 ms pass
    And entry-2 is killed
    And entry-0 is frozen
    And "old" asks for job with key sale-2 at entry-0
    And 1000 ms pass
    And the agent of till-0 is killed
    And "new" asks for job with key sale-2 at entry-1
    And 1500 ms pass
    And the agent of till-0 is restarted
    And entry-0 is thawed
    And 2000 ms pass
    Then the history is sound

  Scenario: An endpoint's agent cannot be reached at all
    Given 1 entries and 1 endpoints a service
    When the agent of till-0 is killed
    And "one" asks for ping at entry-0
    And "two" asks for job with key sale-3 at entry-0
    And 3000 ms pass
    Then "one" is told not-run
    And "one" ran 0 times
    And "two" is told not-run
    And "two" ran 0 times
    And the history is sound

  Scenario: The leg breaks and the message arrives after it was sealed
    Given 1 entries and 1 endpoints a service
    When messages take up to 900 ms
    And "one" asks for job with key sale-4 at entry-0
    And 60 ms pass
    And every open leg breaks
    And 6000 ms pass
    Then the history is sound

  Scenario: A draining agent refuses, and another endpoint runs it
    Given 1 entries and 2 endpoints a service
    When the agent of till-0 gets SIGTERM
    And "one" asks for job with key sale-5 at entry-0
    And 1000 ms pass
    Then "one" is answered whole
    And "one" ran 1 times
    And the history is sound

  Scenario: All agents drain
    Given 1 entries and 2 endpoints a service
    When the agent of till-0 gets SIGTERM
    And the agent of till-1 gets SIGTERM
    And "one" asks for ping at entry-0
    And 1000 ms pass
    Then "one" is told not-run
    And "one" ran 0 times
    And the history is sound

  Scenario: The deadline passes while the agent is frozen
    Given 1 entries and 1 endpoints a service
    When agent of till-0 is frozen
    And "one" asks for job with key sale-6 at entry-0
    And 6000 ms pass
    Then "one" is told unknown
    When agent of till-0 is thawed
    And 3000 ms pass
    Then "one" ran 0 times
    And the history is sound
