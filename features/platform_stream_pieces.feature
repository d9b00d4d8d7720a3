@nosite @platform
Feature: each piece of a stream reaches its caller once

  Guards against a stream of which a piece is missing or comes twice within one
  answer.

  # Guards against events that a run repeats as it goes on with another one.
  Scenario Outline: the replica of a stream <fault>, and the next one repeats events
    Given an entry on the platform with two plain and two pool replicas
    When the replica of a "resumable" request "<fault>", and the next one "repeats two events"
    Then the caller gets status 200 and "events"
    And the request ran 2 times

    Examples:
      | fault                      |
      | breaks after two events    |
      | breaks inside an event     |
      | closes inside an event     |
      | is silent after two events |

  Scenario: a run that is restored from its KV backup repeats events
    Given an entry on the platform with two plain and two pool replicas
    And a third pool replica
    When the replica of a long response "crashes after two events", and the one that restores it "repeats two events"
    Then the caller gets status 200 and "events"
    And it ran once and was resumed 1 times
