@nosite @platform
Feature: duties that one entry at a time performs for all

  Guards against usage that is reported twice, wrongly or not at all, and
  against two entries that act beside each other.

  Scenario: the usage of all entries is reported
    Given three entries on the platform with duties
    When requests are served at all entries for 5 s
    Then the reports contain each request once

  Scenario Outline: the entry that holds the duties is <fault>
    Given three entries on the platform with duties
    When requests are served at all entries for 2 s
    And the holder of the duties is <fault>
    And requests are served at the other entries for 8 s
    Then another entry reports the usage
    And no two entries used the same token
    And no window was reported with different counts

    Examples:
      | fault   |
      | killed  |
      | stopped |
      | frozen  |

  Scenario Outline: the platform is <mode> for a while
    Given three entries on the platform with duties
    When requests are served at all entries for 2 s
    And the platform's calls are <mode> for 3 s
    And requests are served at all entries for 5 s
    Then the reports contain each request once
    And no window was reported with different counts

    Examples:
      | mode   |
      | busy   |
      | reset  |
      | late   |

  # Guards against tokens that are used twice, and windows that are counted
  # anew, when the store loses claims that it had confirmed.
  Scenario Outline: the store loses the last claims while the holder is <fault>
    Given three entries on the platform with duties
    When requests are served at all entries for 2 s
    And a copy of the store is taken
    And requests are served at all entries for 4 s
    And the store comes back from the copy while the holder is <fault>
    And requests are served at the other entries for 10 s
    Then usage is reported after the return
    And no two entries used the same token
    And tokens only grew
    And no window was reported with different counts

    Examples:
      | fault  |
      | well   |
      | killed |
      | frozen |

  # Guards against usage that is left out although entries know all about it.
  Scenario: the store loses the last claims and nothing else happens
    Given three entries on the platform with duties
    When requests are served at all entries for 2 s
    And a copy of the store is taken
    And requests are served at all entries for 4 s
    And the store comes back from the copy while the holder is well
    And requests are served at all entries for 10 s
    Then the reports contain each request once
    And no two entries used the same token
    And tokens only grew
    And no window was reported with different counts

  Scenario: spot replicas take over from regular ones
    Given three entries on the platform with duties
    When the pool's replicas may be ordered
    Then spot replicas are ordered, start and serve
    And regular ones are ordered away once these serve
