Feature: Each caller gets its own whole answer, and nothing leaks
  Symptom guarded against: a cut reply reaches a caller as a success, one
  customer gets another's stored reply, or a caller that left keeps a
  replica's place occupied for good. Sequence: a plain service breaks off
  its reply half way; two customers choose the same idempotency key; a
  caller closes its connection mid-answer. Cause it would have: taking the
  end of a connection for the end of a reply, keys without a customer, and
  bookkeeping done only in the callback that a cancelled call never makes.

  Background:
    Given the site is up with the catalogue in force

  Scenario: A repeatable call whose reply is cut is answered by another replica
    Given the booking replica "booking-1" cuts its next 1 replies half way
    And the booking replica "booking-2" cuts its next 1 replies half way
    When "hotel-desk" makes 6 seat queries
    Then every seat query got its own whole answer

  Scenario: A not-repeatable call whose reply is cut has an unknown outcome
    Given every booking replica cuts its next 1 replies half way
    When "traveller-app" charges with key "cut" at entry-a
    Then the reply has status 502 and error code "outcome_unknown"
    And the booking replicas answer whole again

  Scenario: Two customers with the same key each get their own charge
    When "traveller-app" charges with key "same" at entry-a
    And "hotel-desk" charges with key "same" at entry-b
    Then both charges ran, each for its own customer

  Scenario: Many charges at once all run
    When 30 charges with different keys are sent at once through both entries
    Then each of the 30 keys ran exactly once and was answered 200

  Scenario: A caller that leaves mid-answer frees its place at the replica
    Given engines step slowly
    When 8 callers leave entry-a after their first token
    Then no replica has requests in flight from entry-a
    And the tokens of the abandoned answers count as wasted
    And engines step normally

  Scenario: A waiting request is answered at its deadline, as not run
    Given engines step slowly
    And every place of the pool is taken
    When a request with a deadline of 600 ms arrives at entry-a
    Then the reply has status 503 and error code "deadline"
    And the reply says when to come back
    And engines step normally

  Scenario Outline: A refusal is sent once, and its connection goes on
    When a caller sends <case> and then a health check on one connection
    Then the connection carried exactly the refusal <status> and the health answer

    Examples:
      | case             | status |
      | malformed JSON   | 400    |
      | unknown customer | 403    |
      | unknown route    | 404    |

  Scenario: A prompt longer than a cache block is answered whole
    When "kiosk" asks class "seat" with a prompt of 900 words
    Then the reply has status 200 and a whole text
