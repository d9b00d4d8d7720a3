Feature: Engine protocol under faults: each caller gets its own whole answer
  Symptom guarded against: a caller receives a cut, repeated or foreign
  answer. Sequence: an engine crashes mid-answer, stalls, or refuses; the
  entry must resume on another replica after the tokens already delivered.
  Cause it would have: relaying without counting delivered tokens, or
  retrying a stream from its start.

  Background:
    Given the site is up with the catalogue in force

  Scenario Outline: A fault on engines still gives the whole answer once
    Given engines <engines> have the fault <fault>
    When "traveller-app" asks class "seat" for a streamed answer
    Then the streamed answer is whole, in order, with no token twice
    And the engines are healed

    Examples:
      | engines                            | fault            |
      | engine-1,engine-2                  | crash_after=3    |
      | engine-1,engine-2,engine-3         | crash_after=0    |
      | engine-1,engine-2                  | stall=true       |
      | engine-1,engine-2,engine-3,engine-4 | outage=true     |

  Scenario: When every engine refuses the caller is told at once: not run
    Given engines engine-1,engine-2,engine-3,engine-4,engine-5 have the fault outage=true
    When "traveller-app" asks class "seat" for a whole answer
    Then the reply has status 503 and error code "no_replica"
    And the reply says when to come back
    And the engines are healed

  Scenario: When every engine crashes mid-answer the caller is told, with a code
    Given engines engine-1,engine-2,engine-3,engine-4,engine-5 have the fault crash_after=2
    When "traveller-app" asks class "seat" for a whole answer
    Then the reply has status 502 and error code "backend_failed"
    And the engines are healed
