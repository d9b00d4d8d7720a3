@nosite @platform
Feature: responses of replicas that say nothing for a while

  Guards against a response that is broken off, or never comes, although its
  replica goes on: the entry lets go of a silent run before it is certain that
  another replica takes the request.

  Background:
    Given an entry on the platform with two plain and two pool replicas

  Scenario Outline: a <kind> request whose replica <silence> and whose second replica <second>
    When the replica of a "<kind>" request "<silence>", and the next one "<second>"
    Then the caller gets status 200 and "<body>"

    Examples:
      | kind       | silence                    | second                | body   |
      | resumable  | is silent after two events | refuses               | events |
      | resumable  | is silent after two events | resets                | events |
      | resumable  | is silent after two events | fails                 | events |
      | resumable  | is silent after two events | answers unsealed      | events |
      | resumable  | is silent after two events | hangs                 | events |
      | resumable  | is silent after two events | ok                    | events |
      | resumable  | begins late                | refuses               | events |
      | streaming  | is silent after two events | refuses               | events |
      | idempotent | answers late               | refuses               | whole  |
      | idempotent | answers late               | resets                | whole of the first run |
      | idempotent | answers late               | fails                 | whole of the first run |
      | idempotent | answers late               | hangs                 | whole of the first run |

  # Guards against a request that is never answered: the silent replica refuses
  # it after the next one has.
  Scenario: both replicas refuse a request, the first one late
    When the replica of a "resumable" request "refuses late", and the next one "refuses"
    Then the caller gets status 503 and "not run"
    And the request ran 0 times

  Scenario Outline: a configuration <change> while the replica of a <kind> request <silence>
    When a configuration "<change>" while the replica of a "<kind>" request "<silence>"
    Then the caller gets status 200 and "<body>"
    And only replicas of the service that it began at ran it

    Examples:
      | change                          | kind       | silence                    | body   |
      | drops the route                 | resumable  | is silent after two events | events |
      | takes the key away              | resumable  | is silent after two events | events |
      | moves the route elsewhere       | resumable  | is silent after two events | events |
      | drops the route and returns it  | resumable  | is silent after two events | events |
      | takes the key away              | idempotent | answers late               | whole  |
      | drops the route                 | idempotent | answers late               | whole  |

  # Guards against a caller that is cut off although it is alive: the kernel
  # takes one that reads nothing for some seconds for one that is gone.
  Scenario: a caller that reads nothing for a while
    When a caller of a large "long" stream reads nothing for 6 s, then all of it
    Then it gets the whole stream

  # Guards against a sound run that is let go of: the entry reads nothing from
  # the replica while the caller does not, and takes that for silence.
  Scenario: a caller of a resumable stream that reads nothing for a while
    When a caller of a large "resumable" stream reads nothing for 4 s, then all of it
    Then it gets the whole stream
    And the request ran 1 times

  Scenario Outline: a stream whose replica seems to be gone, and whose KV backup's replica <copy>
    Given a third pool replica
    When the replica of a long response "stalls long after two events", and the replica of its KV backup <copy>
    Then the caller gets status 200 and "events"

    Examples:
      | copy    |
      | refuses |
      | is gone |
