@nosite @platform
Feature: the entry on the platform through what operators and machines do to it

  Background:
    Given an entry on the platform with two plain and two pool replicas

  # Symptom: streams cut, or settings half in force, after a signal.
  # Sequence: the settings file is replaced while requests run, once with a
  # fault in it. Cause it would have: a restart of what the settings describe.
  Scenario: settings that change while streams run
    When the settings change with a signal while streams run
    Then the streams end whole and the new settings are in force

  Scenario: a settings file with a fault
    When a settings file without a store is put in place, with a signal
    Then the fault is logged with the field's name and requests are served

  # Symptom: after a change of settings more retries than all may send.
  # Cause: the retries already sent were forgotten with the old allowance.
  Scenario: retries sent before a change of settings
    When the settings change after all retries were used
    Then no more retries are sent than before

  # Symptom: an entry goes on with what the old store said.
  Scenario: a store that moves
    When the settings name another store, whose configuration is newer
    Then the configuration of that store is in force

  # Symptom: a stampede on the store, or entries that answer wrongly, after
  # all have lost power. Sequence: all are killed and started at once.
  Scenario: all entries start again at once
    Given two more entries on the same store
    When all entries are killed and started at once
    Then each is soon ready and serves, with few calls to the store

  # Symptom: the process is killed for its memory. Sequence: replicas send
  # more, and faster, than callers read. Cause: answers kept in the process.
  Scenario: callers that do not read
    When callers do not read while replicas send without end
    Then the entry's memory stays small and other callers are served

  Scenario: what the metrics page tells
    When requests were served and one was denied
    Then the metrics page counts them and tells what the entry believes
