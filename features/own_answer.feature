Feature: Each caller gets its own complete response, and nothing leaks
  Guards against a truncated reply that reaches a caller as a success, a
  customer that gets another's stored reply, and a disconnected caller that occupies a
  slot of a replica forever. A plain service truncates its reply; two customers
  choose the same idempotency key; a caller closes its connection during a
  response. Treating the end of a connection as the end of a reply, keys without
  a customer, or releasing the slot only in a callback that a cancelled call
  never makes, would cause this.

  Background:
    Given the site is up with an active catalogue

  Scenario: A repeatable call whose reply is truncated is retried at another replica
    Given the booking replica "booking-1" truncates its next 1 replies
    And the booking replica "booking-2" truncates its next 1 replies
    When "hotel-desk" makes 6 seat queries
    Then every seat query got its own complete response

  Scenario: A not-repeatable call whose reply is truncated has an unknown outcome
    Given every booking replica truncates its next 1 replies
    When "traveller-app" charges with key "cut" at entry-a
    Then the reply has status 502 and error code "outcome_unknown"
    And the booking replicas send complete replies again

  Scenario: Two customers with the same key each get their own charge
    When "traveller-app" charges with key "same" at entry-a
    And "hotel-desk" charges with key "same" at entry-b
    Then both charges ran, each for its own customer

  Scenario: Many charges at once all run
    When 30 charges with different keys are sent at once through both entries
    Then each of the 30 keys ran exactly once and got status 200

  Scenario: A caller that disconnects during a response frees its slot at the replica
    Given engines step slowly
    When 8 callers disconnect from entry-a after their first token
    Then no replica has requests in flight from entry-a
    And the tokens of the abandoned responses count as wasted
    And engines step normally

  Scenario: A waiting request is reported as not run at its deadline
    Given engines step slowly
    And every slot of the pool is taken
    When a request with a deadline of 600 ms arrives at entry-a
    Then the reply has status 503 and error code "deadline"
    And the reply has a retry time
    And engines step normally

  Scenario Outline: A refusal is sent once and its connection stays usable
    When a caller sends <case> and then a health check on one connection
    Then the connection carried exactly the refusal <status> and the health reply

    Examples:
      | case             | status |
      | malformed JSON   | 400    |
      | unknown customer | 403    |
      | unknown route    | 404    |

  Scenario: A prompt longer than a cache block gets a complete response
    When "kiosk" asks class "seat" with a prompt of 900 words
    Then the reply has status 200 and a complete text
