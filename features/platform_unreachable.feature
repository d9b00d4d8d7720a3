@nosite @platform
Feature: an entry on the platform that reaches no replica

  Guards against callers that are refused, or wait for their whole time, at an
  entry that has lost its paths to the replicas while other entries reach them.

  Background:
    Given three entries on the platform, the first with paths of its own

  Scenario Outline: connections to all replicas <how>
    When connections of the first entry to all replicas <how>
    Then its callers are served once it has had time to notice
    And it sends to the replicas itself once its paths are back

    Examples:
      | how                                  |
      | hang                                 |
      | are reset                            |
      | live on while new ones are refused   |
