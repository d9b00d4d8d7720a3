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

  # Guards against an answer that gets or loses pieces by another one of the same
  # stream.
  Scenario Outline: callers take their streams up at <where>, <faults>
    Given three entries on the platform, the first with paths of its own
    When callers take their streams up at <where> while the first answers run<faults>
    Then each answer has all its pieces once, and ends as whole

    Examples:
      | where                | faults                |
      | the same entry       |                       |
      | another entry        |                       |
      | the same entry twice |                       |
      | two entries at once  |                       |
      | all entries at once  |                       |
      | the same entry       | , and 4 runs break    |
      | two entries at once  | , and 4 runs break    |

  # Guards against an answer that gets or loses pieces of another one on the same
  # channel between two entries.
  Scenario Outline: the first entry sends through others, and callers take streams up at <where>
    Given three entries on the platform, the first with paths of its own
    When connections of the first entry to all replicas are reset
    And its requests go through other entries
    And callers take their streams up at <where> while the first answers run<faults>
    Then each answer has all its pieces once, and ends as whole

    Examples:
      | where                | faults                |
      | the same entry       |                       |
      | the same entry twice |                       |
      | all entries at once  |                       |
      | the same entry       | , and 4 runs break    |

  # Guards against pieces that are lost as a caller holds back two entries.
  Scenario: a caller of a stream through another entry that reads nothing for a while
    Given three entries on the platform, the first with paths of its own
    When connections of the first entry to all replicas are reset
    And its requests go through other entries
    And a caller of a large "resumable" stream reads nothing for 2 s, then all of it
    Then it gets the whole stream
