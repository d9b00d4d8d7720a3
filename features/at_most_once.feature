Feature: Plain services: a not-repeatable call runs at most once
  Symptom guarded against: a booking charge or an issued declaration runs
  twice, or a caller is told "not run" when it ran. Sequence: the caller
  retries with the same idempotency key, through another entry; the log
  service loses its reply after the write; the service loses its reply
  after running. Cause it would have: retrying a call that reached the
  back end, or deciding ownership of a key on one entry alone.

  Background:
    Given the site is up with the catalogue in force

  Scenario Outline: Retries with one key run the charge once
    Given the fault <fault> on "<standin>"
    When "traveller-app" charges with key "<key>" through entry-a then entry-b
    Then the booking services ran key "<key>" exactly <runs> time
    And the replies were <first> then <second>

    Examples:
      | fault        | standin   | key | runs | first           | second          |
      | none         | log       | k1  | 1    | 200             | replayed        |
      | lose_reply=1 | log       | k2  | 1    | 200             | replayed        |
      | lose_reply=1 | booking-1 | k3  | 1    | outcome_unknown | outcome_unknown |
      | outage=true  | log       | k4  | 0    | not_run         | not_run         |
