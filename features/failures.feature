Feature: Processes that crash, freeze or stop responding
  Guards against a caller that gets a truncated or repeated response or that of
  another request, or that waits forever. An engine or service process is killed
  or frozen in the middle of a response, or its connection stays silent while
  new ones work. Waiting for an error that never arrives, or restarting a
  response instead of resuming it after the delivered tokens, would cause this.

  Background:
    Given the site is up with an active catalogue

  Scenario Outline: Streams survive failures of their engines
    Given 8 long streamed responses are in flight on entry "entry-a"
    When <what> happens to <engines>
    Then every response in flight completes
    And the site is restored

    Examples:
      | what         | engines           |
      | a kill       | engine-1,engine-2 |
      | a freeze     | engine-1,engine-2 |
      | silent links | engine-1,engine-2 |
      | a crash loop | engine-1,engine-2 |

  Scenario: A killed service replica loses no repeatable call
    When a kill happens to booking-1
    And "hotel-desk" makes 12 seat queries
    Then every seat query got its own complete response
    And the site is restored

  Scenario: A caller that disconnects stops the engine's run
    Given engines step slowly
    When 8 callers disconnect from entry-a after their first token
    Then no engine has requests running
    And engines step normally
