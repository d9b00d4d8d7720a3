Feature: A key runs at most once, whatever fails
  Symptom guarded against: a booking charge or declaration runs twice, or a
  caller is told "not run" for one that runs later. Sequence: the entry that
  claimed a key is frozen or killed before or while it runs; the caller
  tries again elsewhere; the sleeper wakes and acts. Cause it would have:
  taking over a claim whose owner seems dead, or dispatching before the
  log's order has decided.

  Background:
    Given the site is up with the catalogue in force

  Scenario: The same key at both entries at once runs once
    When 12 keys are each sent to both entries at the same moment
    Then each of those keys ran exactly once
    And no reply says that a key was not run

  Scenario Outline: The entry that claimed is <fate> and the caller tries again
    Given <place> is slow by <ms> ms
    When a charge with key "<key>" is under way at entry-a
    And entry "entry-a" is <fate>
    And the charge with key "<key>" is tried again at entry-b
    Then the retry was answered one of <codes>
    And after entry "entry-a" is back, key "<key>" ran <runs>

    Examples:
      | fate   | place       | ms   | key    | codes                       | runs         |
      | frozen | the log     | 800  | log-f  | in_progress                 | exactly once |
      | killed | the log     | 800  | log-k  | in_progress                 | at most once |
      | frozen | the service | 1500 | serv-f | in_progress, replayed       | exactly once |
      | killed | the service | 1500 | serv-k | in_progress                 | exactly once |

  Scenario: While the log is down, charges without a key still run once each
    Given the log service has the fault outage=true
    When 6 charges without a key are sent to entry-a
    Then each was answered 200 and ran exactly once
    And the log service is whole again

  Scenario: A key used for another request is refused
    When "kiosk" charges with key "reuse" at entry-a
    And "kiosk" charges something else with key "reuse" at entry-b
    Then the reply has status 422 and error code "key_reused"

  Scenario: The log's append limit delays claims and loses none
    Given the log service takes only 5 appends a second
    When 30 charges with different keys are sent at once through both entries
    Then each of the 30 keys ran exactly once and was answered 200
    And the log service is whole again
