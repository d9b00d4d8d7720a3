@retain
Feature: Catalogue outlives the log service's retention
  Guards against an entry that restarts after days without a change, finds no
  catalogue and never becomes ready. Every record of the catalogue stream
  expires by age, then an entry restarts and an operator publishes. Snapshots
  that are written only on changes would cause this.

  Background:
    Given the site is up with an active catalogue

  Scenario: Every change record expires, an entry restarts, an operator publishes
    When all records of the catalogue stream have expired
    And entry "entry-b" is restarted
    Then every entry runs version 1
    When an operator publishes one more change
    Then every entry runs version 2
    And the change is not lost when its record has expired too
