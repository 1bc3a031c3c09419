Feature: A request that must not be repeated runs at most once

  Scenario: The same key at two entries at the same moment
    Given 2 entries and 2 endpoints per service
    When "one" requests job with key sale-1 at entry-0
    And "two" requests job with key sale-1 at entry-1
    And 1000 ms pass
    Then "one" and "two" have the same answer
    And "one" ran 1 times
    And all guarantees hold

  Scenario: An entry is killed after it sent the job, and the caller retries
    Given 2 entries and 2 endpoints per service
    When endpoints answer after 100 ms
    And "one" requests job with key sale-2 at entry-0
    And 80 ms pass
    And entry-0 is killed
    And "two" requests job with key sale-2 at entry-1
    And 2500 ms pass
    Then the result of "two" is COMPLETE
    And "two" ran 1 times
    And all guarantees hold

  Scenario: All agents restart and forget which keys they have run
    Given 2 entries and 2 endpoints per service
    When endpoints answer after 500 ms
    And "one" requests job with key sale-3 at entry-0
    And 200 ms pass
    And the agent of till-0 is restarted
    And the agent of till-1 is restarted
    And 3000 ms pass
    And "two" requests job with key sale-3 at entry-1
    And 3000 ms pass
    Then the outcome of "one" is unknown
    And the outcome of "two" is unknown
    And "two" ran 1 times
    And all guarantees hold

  Scenario: Endpoints run the job but their answers are lost
    Given 2 entries and 2 endpoints per service
    When the next 2 answers of endpoint till-0 are lost
    And the next 2 answers of endpoint till-1 are lost
    And "one" requests job with key sale-4 at entry-0
    And 1500 ms pass
    And "two" requests job with key sale-4 at entry-1
    And 1500 ms pass
    Then the outcome of "one" is unknown
    And the outcome of "two" is unknown
    And "one" ran 1 times
    And all guarantees hold

  Scenario: An entry is frozen between its claim and its request to the agent
    Given 2 entries and 2 endpoints per service
    When appends take 20 ms
    And "one" requests job with key sale-5 at entry-0
    And 30 ms pass
    And entry-0 is frozen
    And "two" requests job with key sale-5 at entry-1
    And 3000 ms pass
    And entry-0 is thawed
    And 3000 ms pass
    Then all guarantees hold

  Scenario: The agent is frozen while it runs the job
    Given 2 entries and 1 endpoints per service
    When endpoints answer after 100 ms
    And "one" requests job with key sale-6 at entry-0
    And 80 ms pass
    And agent of till-0 is frozen
    And "two" requests job with key sale-6 at entry-1
    And 2000 ms pass
    And agent of till-0 is thawed
    And 1000 ms pass
    Then "one" and "two" have the same answer
    And "one" ran 1 times
    And all guarantees hold

  Scenario: The platform is down and an earlier submission may have run
    Given 2 entries and 2 endpoints per service
    When "one" requests job with key sale-7 at entry-0
    And 20 ms pass
    And entry-0 is killed
    And the platform goes down
    And 100 ms pass
    And "two" requests job with key sale-7 at entry-1
    And 100 ms pass
    Then the result of "two" is KEY_UNDECIDED
    And the outcome of "two" is unknown
    And "two" may be retried later
    And all guarantees hold

  Scenario: The platform is down but the caller holds a ticket
    Given 2 entries and 2 endpoints per service
    When the platform goes down
    And 100 ms pass
    And "one" requests job with key ticket at entry-0
    And "two" requests job with key of one at entry-1
    And 1000 ms pass
    Then "one" and "two" have the same answer
    And "one" ran 1 times
    And all guarantees hold

  Scenario: Appends are slow and their responses are lost
    Given 2 entries and 2 endpoints per service
    When appends take 150 ms
    And the response to every append is lost
    And "one" requests job with key sale-8 at entry-0
    And "two" requests job with key sale-8 at entry-1
    And 4000 ms pass
    Then "one" and "two" have the same answer
    And "one" ran 1 times
    And all guarantees hold

  Scenario: Every message is delayed and duplicated
    Given 2 entries and 2 endpoints per service
    When messages are delayed by up to 300 ms
    And every message arrives twice
    And "one" requests job with key sale-9 at entry-0
    And "two" requests job with key sale-9 at entry-1
    And 4000 ms pass
    Then "one" and "two" have the same answer
    And "one" ran 1 times
    And all guarantees hold

  Scenario: The entry's zone loses and regains its connection to the endpoint's
    Given 2 entries and 2 endpoints per service
    When endpoints answer after 100 ms
    And "one" requests job with key sale-10 at entry-0
    And 80 ms pass
    And zone-a is partitioned from zone-b
    And zone-a is partitioned from zone-a
    And "two" requests job with key sale-10 at entry-1
    And 1500 ms pass
    And the network heals
    And 3000 ms pass
    Then the result of "one" is COMPLETE
    And "one" ran 1 times
    And all guarantees hold

  Scenario: The entry's zone is partitioned from the platform
    Given 2 entries and 2 endpoints per service
    When zone-a is partitioned from platform
    And 100 ms pass
    And "one" requests job with key sale-11 at entry-0
    And "two" requests job with key sale-11 at entry-1
    And 1000 ms pass
    Then the result of "one" is KEY_UNDECIDED
    And the result of "two" is COMPLETE
    And "two" ran 1 times
    And all guarantees hold

  Scenario: Claims are trimmed too early
    Given 2 entries and 2 endpoints per service
    When "one" requests job with key sale-12 at entry-0
    And 1000 ms pass
    And "other" requests job with key sale-13 at entry-0
    And 1000 ms pass
    And all but the newest 1 claim batches are trimmed
    And entry-2 is started in zone-c
    And 1000 ms pass
    And "two" requests job with key sale-12 at entry-2
    And 1000 ms pass
    Then the result of "one" is COMPLETE
    And the result of "two" is KEY_UNDECIDED
    And "one" ran 1 times
    And all guarantees hold

  Scenario: A key is reused for another request
    Given 2 entries and 2 endpoints per service
    When "one" requests job with key sale-14 at entry-0
    And 1000 ms pass
    And "two" requests ping with key sale-14 at entry-1
    And 1000 ms pass
    Then the result of "two" is KEY_REUSED
    And "one" ran 1 times
