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

  Scenario: only the replicas of one service cannot be reached
    When connections of the first entry to the plain replicas hang
    Then its callers are served once it has had time to notice
    And it sends requests to the other service itself

  Scenario: no entry reaches the replicas
    When the replicas are gone and connections of the first entry hang
    Then requests are soon refused as not run
    And no request ran

  Scenario Outline: the entry that forwards is <how>
    When connections of the first entry to all replicas hang
    And the entry that forwards a request is <how>
    Then a request that may run once has the outcome <outcome>
    And its callers are served by the remaining entry

    Examples:
      | how     | outcome |
      | killed  | 502     |
      | stopped | 200     |

  Scenario: a caller leaves while another entry forwards its request
    When connections of the first entry to all replicas are reset
    And a caller leaves while its request is forwarded
    Then the replica soon stops to work on it

  Scenario: replicas that exit are told from paths that are lost
    When connections of the first entry to all replicas are reset
    Then no entry takes a replica for exited

  # Guards against a run at the end of a detour that is let go of too early.
  Scenario: a stream through another entry is silent, and the next replica refuses
    When connections of the first entry to all replicas are reset
    And its requests go through other entries
    And the replica of a "resumable" request "is silent after two events", and the next one "refuses"
    Then the caller gets status 200 and "events"
    And the request ran 1 times

  # Guards against a broken stream that looks complete, as the entry that
  # forwards it reports the end of its replica's connection as its end.
  Scenario Outline: a <kind> stream through another entry is closed inside an event
    When connections of the first entry to all replicas are reset
    And its requests go through other entries
    And a "<kind>" request meets a replica that "<fault>"
    Then the caller gets status <status> and "<body>"
    And the request ran <runs> times

    Examples:
      | kind      | fault                  | status | body    | runs |
      | streaming | closes inside an event | 200    | broken  | 1    |
      | streaming | closes before an event | 502    | unknown | 1    |
      | resumable | closes inside an event | 200    | events  | 2    |

  # Guards against a stream that is moved from one lost connection to another.
  Scenario: open connections go silent for good while new ones work
    Given connections of the first entry to both pool replicas
    When all its open connections go silent while a resumable stream runs
    Then the caller gets status 200 and "events"
