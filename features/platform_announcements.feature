@nosite @platform
Feature: replicas that announce in their responses what they accept

  Guards against requests to a replica that has announced that it is leaving,
  although the entry cannot learn that from the store.

  Scenario Outline: a replica announces its exit in <response> during an outage of the store
    Given an entry on the platform with two plain and two pool replicas
    When the store stops responding
    And a replica announces its exit in <response>
    Then it receives no further request and all requests are served
    When the store responds again
    Then it receives no further request and all requests are served

    Examples:
      | response                     |
      | a response                   |
      | a refusal                    |
      | the head of a long stream    |
      | an interim response          |

  Scenario: an older record of the replica is written again
    Given an entry on the platform with two plain and two pool replicas
    When a replica announces its exit in a response
    And its record is dropped and written again
    Then it receives no further request and all requests are served

  Scenario: the replica restarts under the same id
    Given an entry on the platform with two plain and two pool replicas
    When a replica announces its exit in a response
    And it restarts under the same id
    Then it receives requests again

  Scenario: all replicas announce their exits
    Given an entry on the platform with two plain and two pool replicas
    When all replicas announce their exits in a response
    Then requests are refused at once as not run

  Scenario Outline: a replica asks for a pause of <pause> s
    Given an entry on the platform with two plain and two pool replicas
    When a replica refuses requests and asks for a pause of <pause> s
    Then it receives no request until the pause is over
    And afterwards one at a time until it accepts one

    Examples:
      | pause |
      | 3     |
      | 1.5   |

  Scenario: a replica asks for a pause during an outage of the store
    Given an entry on the platform with two plain and two pool replicas
    When the store stops responding
    And a replica refuses requests and asks for a pause of 3 s
    Then it receives no request until the pause is over
    And afterwards one at a time until it accepts one

  Scenario: a request that a replica refuses, asking for a pause, is sent elsewhere
    Given an entry on the platform with two plain and two pool replicas
    When a replica refuses retryable requests and asks for a pause of 2 s
    Then all of them were served
    And it receives no request until the pause is over

  Scenario: a replica that asked for a pause restarts under the same id
    Given an entry on the platform with two plain and two pool replicas
    When a replica refuses requests and asks for a pause of 60 s
    And it restarts under the same id
    Then it receives requests again

  Scenario: its record is dropped and written again during a pause
    Given an entry on the platform with two plain and two pool replicas
    When a replica refuses requests and asks for a pause of 6 s
    And its record is dropped and written again
    Then it receives no request until the pause is over

  Scenario: all replicas ask for a pause
    Given an entry on the platform with two plain and two pool replicas
    When all replicas refuse requests and ask for a pause of 3 s
    Then requests are refused at once as not run
    And callers are told to return when the pause is over
    And callers that return then are served

  Scenario: replicas fall over if they turn many requests away
    Given an entry on the platform with two plain and two pool replicas
    When the plain replicas are brittle and many callers come at once
    Then no replica falls over
    And callers are served in the meantime
