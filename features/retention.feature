@retain
Feature: Catalogue outlives the log service's retention
  Symptom guarded against: after days without a change, an entry that
  restarts finds no catalogue and never becomes ready. Sequence: every
  record of the catalogue stream expires by age, then an entry restarts and
  an operator publishes. Cause it would have: snapshots written only when
  something changes.

  Background:
    Given the site is up with the catalogue in force

  Scenario: Every change record expires, an entry restarts, an operator goes on
    When the catalogue stream has expired wholly
    And entry "entry-b" is restarted
    Then every entry runs version 1
    When an operator publishes one more change
    Then every entry runs version 2
    And the change is not lost when that has expired too
