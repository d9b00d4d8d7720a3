@nosite @platform
Feature: the entry on the platform under reloads, restarts and slow callers

  Background:
    Given an entry on the platform with two plain and two pool replicas

  # Guards against truncated streams or partly applied settings after a reload.
  # The settings file is replaced while requests run, once with an error in it.
  # A reload that restarts the components it configures would cause this.
  Scenario: settings that change while streams run
    When the settings are changed and reloaded by a signal while streams run
    Then the streams complete and the new settings are active

  Scenario: a settings file with an error
    When a settings file without a store is installed and reloaded by a signal
    Then the error is logged with the field's name and requests are served

  # Guards against more retries than the budget allows after a reload, because
  # a new budget does not count the retries that were already sent.
  Scenario: retries sent before a change of settings
    When the settings are changed and reloaded after the retry budget is used up
    Then the reload does not refill the retry budget

  # Guards against an entry that keeps using the old store's data.
  Scenario: a store that moves
    When the settings name another store, whose configuration is newer
    Then the configuration of that store is active

  # Guards against a burst of calls to the store, or wrong responses, when all
  # entries lose power and restart at once.
  Scenario: all entries restart at once
    Given two more entries on the same store
    When all entries are killed and started at once
    Then each is soon ready and serves, with few calls to the store

  # Guards against an entry that is killed for its memory use because it buffers
  # responses that replicas send faster than callers read.
  Scenario: callers that do not read
    When callers do not read while replicas send without end
    Then the entry's memory stays small and other callers are served

  Scenario: the content of the metrics page
    When requests were served and one was denied
    Then the metrics page counts them and reports the state of the entry
