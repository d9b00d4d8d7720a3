Feature: VM list and shutdown: leaving replicas and stopping entries
  Symptom guarded against: a leaving back end keeps getting new work, or
  stopping an entry cuts answers in flight. Sequence: the VM list shows a
  replica leaving (with a lag); an entry gets SIGTERM while it streams.
  Cause it would have: routing on the settings alone, or exiting on the
  signal without waiting for requests in flight.

  Background:
    Given the site is up with the catalogue in force

  Scenario Outline: A replica shown leaving gets no new work after the poll
    Given the VM list lags by <lag> s
    When the VM list shows "engine-1" leaving and the entries have polled it
    And 20 seat requests are answered
    Then "engine-1" received none of them

    Examples:
      | lag |
      | 0   |
      | 0.5 |

  Scenario: SIGTERM on an entry finishes the answers in flight
    Given 6 long streamed answers are in flight on entry "entry-b"
    When entry "entry-b" gets SIGTERM
    Then entry "entry-b" reports not ready at once
    And every answer in flight ends whole
    And entry "entry-b" exits by itself
