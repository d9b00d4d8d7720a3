Feature: Catalogue: an accepted change is active everywhere and never reverts
  Guards against an entry with an old catalogue, a change that is overwritten
  silently, or a version that decreases. Two operators publish at once; the log
  service is down; old records expire and an entry restarts. Publishing where
  the last writer wins, or a reader that cannot start after expired records,
  would cause this.

  Background:
    Given the site is up with an active catalogue

  Scenario: Two operators publish on the same base: one is accepted, one is refused
    When two operators publish changes based on the current version
    Then exactly one is accepted and the other gets "stale_version"
    And every entry runs the accepted change and no other

  Scenario Outline: A fault of the log service does not revert a version
    Given the catalogue is at a new version on every entry
    When the log service has the fault <fault> for a while
    Then every entry still runs that version
    And entry "entry-a" still responds to health checks

    Examples:
      | fault         |
      | outage=true   |
      | delay_ms=3000 |

  Scenario: Records expire, an entry restarts, and it resumes from a snapshot
    Given the catalogue is at a new version on every entry
    When the log service keeps only the newest 2 records of the catalogue
    And entry "entry-b" is restarted
    Then every entry still runs that version

  Scenario: Two operators change different items at once: both are accepted
    When two operators change different classes based on the current version
    Then both changes are accepted and active on every entry

  Scenario: A file made from an older version does not undo later changes
    Given operator "ann" has saved the catalogue to a file
    And operator "bo" has changed a class that ann's file also changes
    When ann publishes her file from the command line
    Then the command fails with "stale_version" and bo's change stays

  Scenario: A file that names no version is not published over a catalogue
    When a file without a version is published from the command line
    Then the command fails with "bad_catalogue" and nothing has changed

  Scenario Outline: A publish whose reply is lost is accepted once
    Given the log service loses its next <n> replies
    When one operator publishes a change
    Then it is accepted as exactly the next version

    Examples:
      | n |
      | 1 |
