Feature: Machines that die, freeze or fall silent
  Symptom guarded against: a caller gets a cut, repeated or foreign answer,
  or waits for ever. Sequence: an engine or service process is killed or
  frozen mid-answer, or its connection goes silent for good while new ones
  work. Cause it would have: waiting for an error that never comes, or
  starting an answer over instead of going on after what was delivered.

  Background:
    Given the site is up with the catalogue in force

  Scenario Outline: Streams survive what happens to the engines under them
    Given 8 long streamed answers are in flight on entry "entry-a"
    When <what> happens to <engines>
    Then every answer in flight ends whole
    And everything is whole again

    Examples:
      | what         | engines           |
      | a kill       | engine-1,engine-2 |
      | a freeze     | engine-1,engine-2 |
      | silent links | engine-1,engine-2 |
      | a crash loop | engine-1,engine-2 |

  Scenario: A killed service replica loses no repeatable call
    When a kill happens to booking-1
    And "hotel-desk" makes 12 seat queries
    Then every seat query got its own whole answer
    And everything is whole again

  Scenario: A caller that leaves stops the engine's work
    Given engines step slowly
    When 8 callers leave entry-a after their first token
    Then no engine has requests running
    And engines step normally
