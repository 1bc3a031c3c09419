Feature: A request that must not be repeated runs at most once (P4)

  Scenario: The same key at two entries at the same moment
    Given 2 entries and 2 endpoints a service
    When "one" asks for job with key sale-1 at entry-0
    And "two" asks for job with key sale-1 at entry-1
    And 1000 ms pass
    Then "one" and "two" have the same answer
    And "one" ran 1 times
    And the history is sound

  Scenario: The entry dies after it sent the job, and the till asks another
    Given 2 entries and 2 endpoints a service
    When all endpoints take 100 ms
    And "one" asks for job with key sale-2 at entry-0
    And 80 ms pass
    And entry-0 is killed
    And "two" asks for job with key sale-2 at entry-1
    And 2500 ms pass
    Then "two" is answered whole
    And "two" ran 1 times
    And the history is sound

  Scenario: The agent dies with the key's memory
    Given 2 entries and 2 endpoints a service
    When all endpoints take 500 ms
    And "one" asks for job with key sale-3 at entry-0
    And 200 ms pass
    And the agent of till-0 is restarted
    And the agent of till-1 is restarted
    And 3000 ms pass
    And "two" asks for job with key sale-3 at entry-1
    And 3000 ms pass
    Then "one" is told unknown
    And "two" is told unknown
    And "two" ran 1 times
    And the history is sound

  Scenario: The endpoint runs the job but its answer is lost, twice
    Given 2 entries and 2 endpoints a service
    When the next 2 answers of endpoint till-0 are lost
    And the next 2 answers of endpoint till-1 are lost
    And "one" asks for job with key sale-4 at entry-0
    And 1500 ms pass
    And "two" asks for job with key sale-4 at entry-1
    And 1500 ms pass
    Then "one" is told unknown
    And "two" is told unknown
    And "one" ran 1 times
    And the history is sound

  Scenario: An entry is frozen between its claim and its message
    Given 2 entries and 2 endpoints a service
    When appends take 20 ms
    And "one" asks for job with key sale-5 at entry-0
    And 30 ms pass
    And entry-0 is frozen
    And "two" asks for job with key sale-5 at entry-1
    And 3000 ms pass
    And entry-0 is thawed
    And 3000 ms pass
    Then the history is sound

  Scenario: The agent is frozen while it runs the job
    Given 2 entries and 1 endpoints a service
    When all endpoints take 100 ms
    And "one" asks for job with key sale-6 at entry-0
    And 80 ms pass
    And agent of till-0 is frozen
    And "two" asks for job with key sale-6 at entry-1
    And 2000 ms pass
    And agent of till-0 is thawed
    And 1000 ms pass
    Then "one" and "two" have the same answer
    And "one" ran 1 times
    And the history is sound

  Scenario: The platform is down and an earlier submission may have run
    Given 2 entries and 2 endpoints a service
    When "one" asks for job with key sale-7 at entry-0
    And 20 ms pass
    And entry-0 is killed
    And the platform goes down
    And 100 ms pass
    And "two" asks for job with key sale-7 at entry-1
    And 100 ms pass
    Then "two" is answered KEY_UNDECIDED
    And "two" is told unknown
    And "two" may come back later
    And the history is sound

  Scenario: The platform is down but the till holds a ticket
    Given 2 entries and 2 endpoints a service
    When the platform goes down
    And 100 ms pass
    And "one" asks for job with key ticket at entry-0
    And "two" asks for job with key of one at entry-1
    And 1000 ms pass
    Then "one" and "two" have the same answer
    And "one" ran 1 times
    And the history is sound

  Scenario: Every append is slow and loses its answer
    Given 2 entries and 2 endpoints a service
    When appends take 150 ms
    And every append loses its answer
    And "one" asks for job with key sale-8 at entry-0
    And "two" asks for job with key sale-8 at entry-1
    And 4000 ms pass
    Then "one" and "two" have the same answer
    And "one" ran 1 times
    And the history is sound

  Scenario: Every message is late and doubled
    Given 2 entries and 2 endpoints a service
    When messages take up to 300 ms
    And every message arrives twice
    And "one" asks for job with key sale-9 at entry-0
    And "two" asks for job with key sale-9 at entry-1
    And 4000 ms pass
    Then "one" and "two" have the same answer
    And "one" ran 1 times
    And the history is sound

  Scenario: The entry's zone is cut from the endpoint's zone and healed
    Given 2 entries and 2 endpoints a service
    When all endpoints take 100 ms
    And "one" asks for job with key sale-10 at entry-0
    And 80 ms pass
    And zone-a is cut from zone-b
    And zone-a is cut from zone-a
    And "two" asks for job with key sale-10 at entry-1
    And 1500 ms pass
    And the network heals
    And 3000 ms pass
    Then "one" is answered whole
    And "one" ran 1 times
    And the history is sound

  Scenario: The entry's zone is cut from the platform
    Given 2 entries and 2 endpoints a service
    When zone-a is cut from platform
    And 100 ms pass
    And "one" asks for job with key sale-11 at entry-0
    And "two" asks for job with key sale-11 at entry-1
    And 1000 ms pass
    Then "one" is answered KEY_UNDECIDED
    And "two" is answered whole
    And "two" ran 1 times
    And the history is sound

  Scenario: The claims are trimmed before their time
    Given 2 entries and 2 endpoints a service
    When "one" asks for job with key sale-12 at entry-0
    And 1000 ms pass
    And "other" asks for job with key sale-13 at entry-0
    And 1000 ms pass
    And the claims are trimmed to 1
    And entry-2 is started in zone-c
    And 1000 ms pass
    And "two" asks for job with key sale-12 at entry-2
    And 1000 ms pass
    Then "one" is answered whole
    And "two" is answered KEY_UNDECIDED
    And "one" ran 1 times
    And the history is sound

  Scenario: The same key with another content
    Given 2 entries and 2 endpoints a service
    When "one" asks for job with key sale-14 at entry-0
    And 1000 ms pass
    And "two" asks for ping with key sale-14 at entry-1
    And 1000 ms pass
    Then "two" is answered KEY_REUSED
    And "one" ran 1 times
