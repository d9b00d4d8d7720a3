Feature: VM list and shutdown: leaving replicas and stopping entries
  Guards against a leaving back end that keeps getting new requests, and an
  entry that truncates responses in flight when it stops. The VM list shows a replica
  leaving (with a lag); an entry gets SIGTERM while it streams. Routing by the
  settings alone, or exiting on the signal without waiting for requests in
  flight, would cause this.

  Background:
    Given the site is up with an active catalogue

  Scenario Outline: A replica shown leaving gets no new requests after the poll
    Given the VM list lags by <lag> s
    When the VM list shows "engine-1" leaving and the entries have polled it
    And 20 seat requests are answered
    Then "engine-1" received none of them

    Examples:
      | lag |
      | 0   |
      | 0.5 |

  Scenario: An entry completes the responses in flight after SIGTERM
    Given 6 long streamed responses are in flight on entry "entry-b"
    When entry "entry-b" gets SIGTERM
    Then entry "entry-b" reports not ready at once
    And every response in flight completes
    And entry "entry-b" exits by itself
