Feature: Contracts of the stand-ins that the entries rely on
  Guards against entries that are tested with a stand-in which is more lenient
  than the platform. The scenarios use each protocol of docs/PROTOCOLS.md
  directly, with its faults, because a fault switch may have no effect: the
  reply delay had none.

  Background:
    Given the site is up with an active catalogue

  Scenario: The log service gives each record the next offset of its stream
    When 3 records are appended to stream "t1" and 2 more after them
    Then the appends began at offsets 0 and 3 and all 5 are read back in order

  Scenario Outline: The log service refuses before doing anything, or loses only the reply
    Given the log service has the fault <fault>
    When a record is appended to stream "<stream>"
    Then the append <got> and the stream holds <n> records
    And the site is restored

    Examples:
      | fault                | stream | got                  | n |
      | outage=true          | t2     | is refused           | 0 |
      | lose_reply=1         | t3     | gets no reply        | 1 |
      | max_appends_per_s=-1 | t4     | is refused           | 0 |
      | delay_ms=700         | t5     | takes 0.7 s or more  | 1 |

  Scenario: A read below the oldest record gets the start of the stream
    When 5 records are appended to stream "t6" and 2 more after them
    And stream "t6" keeps only the newest 3 records
    Then a read of "t6" from 0 gets status 410 with start 4 and end 7

  Scenario: An engine resumes after a given token
    When engine "engine-1" generates a complete response and again from token 5
    Then the second response is the first one's tokens from 5 on

  Scenario: An engine's batch prefers urgent requests and preempts others
    Given the batch of "engine-2" is full of requests of priority 4
    When a request of priority 1 and one of priority 1 that must not preempt arrive
    Then the first runs at once and the second waits
    And a waiting request raised to priority 1 goes before the others

  Scenario: Cached prompt blocks are not prefilled again and can be moved
    When "engine-3" prefills a prompt of 320 words twice
    Then the second time it prefilled fewer than 32 of them
    When its KV blocks are exported to "engine-4"
    Then "engine-4" prefills fewer than 32 of them

  Scenario: Cache events arrive late and with gaps
    Given "engine-5" drops half of its cache events and lags by 1 s
    When "engine-5" prefills a prompt of 1600 words
    Then its events arrive no sooner than the lag, with gaps in their numbers

  Scenario Outline: An engine that <does> old fencing tokens
    Given "engine-1" <does> old fencing tokens
    When it gets orders with fencing tokens 5, 7 and 6
    Then the last order gets status <status>

    Examples:
      | does    | status |
      | refuses | 409    |
      | ignores | 200    |

  Scenario: Load reports lag behind the actual load
    Given "engine-2" lags by 1.5 s
    When 4 requests start at "engine-2"
    Then its load report shows them only after the lag

  Scenario: The weight store is rate-limited
    When the weights of a model are read 8 times at once
    Then 5 reads succeed and the others get a retry time
