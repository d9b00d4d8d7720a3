Feature: Catalogue: an accepted change is in force everywhere and never reverts
  Symptom guarded against: an entry runs an old catalogue, a change is
  silently overwritten, or a version goes back. Sequence: two operators
  publish at once; the log service is down; old records expire and an
  entry restarts. Cause it would have: last-writer-wins publishing, or a
  reader that cannot start past expired records.

  Background:
    Given the site is up with the catalogue in force

  Scenario: Two operators publish on the same base: one wins, one is told
    When two operators publish changes based on the current version
    Then exactly one is accepted and the other gets "stale_version"
    And every entry runs the accepted change and no other

  Scenario Outline: A fault of the log service does not revert a version
    Given the catalogue is at a new version on every entry
    When the log service has the fault <fault> for a while
    Then every entry still runs that version
    And entry "entry-a" still answers health checks

    Examples:
      | fault         |
      | outage=true   |
      | delay_ms=3000 |

  Scenario: Records expire, an entry restarts, and it resumes from a snapshot
    Given the catalogue is at a new version on every entry
    When the log service keeps only the newest 2 records of the catalogue
    And entry "entry-b" is restarted
    Then every entry still runs that version
