@nosite @platform
Feature: a store that comes back from an older copy

  Guards against entries that compare a position in a history that the store
  has lost with one in its present history: they refuse what is in force,
  accept what was revoked, or send to replicas that have left.

  Background:
    Given five entries on the platform that share reads of the store
    And versions 2 to 8 of the configuration are in force

  Scenario Outline: versions are written after the return: <how>
    When the store is away for 1 s and back from a copy without versions 5 to 8
    And versions <versions> are written, with pauses of <pause> s after <wait> s
    Then the newest version is in force at all entries within 2 s

    Examples:
      | how                                  | versions | pause | wait |
      | the last again, then the next        | 8 to 9   | 0.3   | 0    |
      | none, then the last again and next   | 8 to 9   | 0     | 1.5  |
      | the next only                        | 9 to 9   | 0     | 1.5  |
      | as many as were lost                 | 8 to 11  | 0     | 0    |
      | more than were lost                  | 8 to 13  | 0     | 0    |

  Scenario: the store comes back twice within a second
    When the store is away for 1 s and back from a copy without versions 5 to 8
    And version 9 is written
    And the store comes back once more without version 9
    And versions 10 to 11 are written, with pauses of 0 s after 0.5 s
    Then the newest version is in force at all entries within 2 s

  Scenario: a version stays in force while the store holds an older one
    When the key of a lost version is revoked
    And the store is away for 1 s and back from a copy without the last version
    Then for 6 s all entries serve the lost version and none accepts the revoked key

  Scenario Outline: an entry that <what> before the lost version is written again
    When one of the entries is <before>
    And the key of a lost version is revoked
    And the store is away for 1 s and back from a copy without the last version
    And the same entry is <after>
    Then it never accepts the revoked key
    And it serves the lost version within 3 s

    Examples:
      | what   | before | after                                   |
      | starts | killed | started                                 |
      | wakes  | paused | resumed after the bound on revoked keys |

  Scenario: a replica that says after the return that it leaves
    Given the replicas write their records again and again
    When the store is away for 1 s and back from a copy without the last 30 records
    And a plain replica says that it leaves
    Then it gets no request later than 2 s, and none is refused

  Scenario: a replica that had said before the return that it leaves
    Given the replicas write their records again and again
    When a plain replica says that it leaves
    And the store is away for 1 s and back from a copy in which it is ready
    Then it gets no request later than 0 s, and none is refused

  Scenario: a replica that ended before the return
    Given the replicas write their records again and again
    When a plain replica ends and its record is removed
    And the store is away for 1 s and back from a copy in which it is ready
    Then no entry uses it again, and no request is refused

  Scenario: replicas that started after the copy was taken
    Given the replicas write their records again and again
    When all plain replicas are replaced by new ones
    And the store is away for 1 s and back from a copy without the new ones
    Then no request is refused
