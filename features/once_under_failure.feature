Feature: A key runs at most once under any failure
  Guards against a booking charge or declaration that runs twice, or that is
  reported as not run and runs later. The entry that claimed a key is frozen or
  killed before or while the key runs; the caller retries at another entry; the
  frozen entry resumes and dispatches. Taking over a claim whose owner seems
  dead, or dispatching before the order in the log is decided, would cause this.

  Background:
    Given the site is up with an active catalogue

  Scenario: The same key at both entries at once runs once
    When 12 keys are each sent to both entries at the same moment
    Then each of those keys ran exactly once
    And no reply says that a key was not run

  Scenario Outline: The entry that claimed is <fate> and the caller retries
    Given <place> is slow by <ms> ms
    When a charge with key "<key>" is in flight at entry-a
    And entry "entry-a" is <fate>
    And the charge with key "<key>" is retried at entry-b
    Then the retry got one of the outcomes <codes>
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
    Then each got status 200 and ran exactly once
    And the faults of the log service are cleared

  Scenario: A key used for another request is refused
    When "kiosk" charges with key "reuse" at entry-a
    And "kiosk" charges something else with key "reuse" at entry-b
    Then the reply has status 422 and error code "key_reused"

  Scenario: The log's append limit delays claims and loses none
    Given the log service takes only 5 appends a second
    When 30 charges with different keys are sent at once through both entries
    Then each of the 30 keys ran exactly once and got status 200
    And the faults of the log service are cleared
