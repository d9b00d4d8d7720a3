@nosite @platform
Feature: parts of prompts on which replicas crash

  Guards against one part of prompts that crashes replica after replica because
  no two requests with it are alike, and against sound requests that are
  refused as they share other parts with these.

  Background:
    Given five entries on the platform before 12 model replicas that can crash

  Scenario Outline: requests with a part that crashes replicas come at all entries
    Given prompts in which the part that crashes replicas stands <where>
    When sound requests come, and then requests with that part among them
    Then at most three requests with that part reach replicas after the entries had time to share crashes
    And the last callers with that part get a final response at once
    And sound requests begin at least half as often as before

    Examples:
      | where                              |
      | second, after one first part       |
      | first                              |
      | second, after several first parts  |
      | second, before a sound part        |
      | always before the same sound part  |

  Scenario: an entry is killed and started again in between
    Given prompts in which the part that crashes replicas stands second, after one first part
    When sound requests come, and then requests with that part among them, and an entry is killed and restarted
    Then at most three requests with that part reach replicas after the entries had time to share crashes
    And sound requests begin at least half as often as before

  Scenario: all entries restart
    Given prompts in which the part that crashes replicas stands second, after one first part
    When sound requests come, and then requests with that part among them
    And all entries are killed and restarted
    Then requests with that part soon get a final response there

  Scenario: sound requests under which replicas crash
    Given prompts in which the part that crashes replicas stands second, after one first part
    When sound requests come, and replicas crash by themselves, ten in eight seconds
    Then all sound requests begin afterwards
    And no entry marks any part

  Scenario Outline: many replicas exit at one moment under sound requests
    Given prompts in which the part that crashes replicas stands second, and sound prompts have many second parts
    When sound requests come for <warm_up> s, and then <bursts> replicas exit, each time at one moment, within <span> s
    Then almost no sound request is refused for good
    And all sound requests begin afterwards
    And no entry marks any part

    Examples:
      | warm_up | bursts  | span |
      | 3       | 6       | 0    |
      | 3       | 6, 4    | 0.25 |
      | 3       | 6, 2, 2 | 0.5  |
      | 0.5     | 3, 3, 3 | 0.5  |

  Scenario: a part crashes replicas beside bursts of other crashes
    Given prompts in which the part that crashes replicas stands second, and sound prompts have many second parts
    When sound requests come, and then requests with that part among them, and 3, 3 replicas exit, each time at one moment, within 0.25 s
    Then at most three requests with that part reach replicas after the entries had time to share crashes
    And the last callers with that part get a final response at once
    And sound requests begin at least half as often as before

  Scenario: replicas are down all at once between crashes
    Given only 3 model replicas are left
    And prompts in which the part that crashes replicas stands second, after one first part
    When sound requests come, and then requests with that part among them
    Then at most three requests with that part reach replicas after the entries had time to share crashes
    And sound requests begin at least half as often as before
