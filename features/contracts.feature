Feature: Contracts of the stand-ins that the entries rely on
  Symptom guarded against: an entry proved against a stand-in that is
  kinder than the platform. Sequence: each protocol of docs/PROTOCOLS.md is
  spoken directly, with its faults. Cause it would have: a switch that does
  nothing (as the reply delay once did).

  Background:
    Given the site is up with the catalogue in force

  Scenario: The log service gives each record the next offset of its stream
    When 3 records are appended to stream "t1" and 2 more after them
    Then the appends began at offsets 0 and 3 and all 5 are read back in order

  Scenario Outline: The log service refuses before doing anything, or loses only the reply
    Given the log service has the fault <fault>
    When a record is appended to stream "<stream>"
    Then the append <got> and the stream holds <n> records
    And everything is whole again

    Examples:
      | fault                | stream | got                  | n |
      | outage=true          | t2     | is refused           | 0 |
      | lose_reply=1         | t3     | gets no reply        | 1 |
      | max_appends_per_s=-1 | t4     | is refused           | 0 |
      | delay_ms=700         | t5     | takes 0.7 s or more  | 1 |

  Scenario: A read below the oldest record is told where the stream begins
    When 5 records are appended to stream "t6" and 2 more after them
    And stream "t6" keeps only the newest 3 records
    Then a read of "t6" from 0 is answered 410 with start 4 and end 7

  Scenario: An engine goes on after the tokens it is told of
    When engine "engine-1" generates a prompt whole and again from token 5
    Then the second answer is the first one's tokens from 5 on

  Scenario: An engine's batch prefers the urgent and preempts for it
    Given the batch of "engine-2" is full of requests of priority 4
    When a request of priority 1 and one of priority 1 that must not preempt arrive
    Then the first runs at once and the second waits
    And a waiting request raised to priority 1 goes before the others

  Scenario: Cached prompt blocks are not read again, and can be moved
    When "engine-3" reads a prompt of 320 words twice
    Then the second time it read fewer than 32 of them
    When its blocks are exported to "engine-4"
    Then "engine-4" reads fewer than 32 of them

  Scenario: Cache events come late and with gaps
    Given "engine-5" drops half of its cache events and lags by 1 s
    When "engine-5" reads a prompt of 1600 words
    Then its events come no sooner than the lag, and numbers are missing

  Scenario Outline: An engine that <does> old fencing numbers
    Given "engine-1" <does> old fencing numbers
    When it gets orders with fences 5, 7 and 6
    Then the last order is answered <status>

    Examples:
      | does    | status |
      | refuses | 409    |
      | ignores | 200    |

  Scenario: Load reports describe the past
    Given "engine-2" lags by 1.5 s
    When 4 requests start at "engine-2"
    Then its load report shows them only after the lag

  Scenario: The weight store is rate-limited
    When the weights of a model are read 8 times at once
    Then 5 reads succeed and the others are told when to come back
