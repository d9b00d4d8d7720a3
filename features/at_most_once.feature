Feature: Plain services: a not-repeatable call runs at most once
  Guards against a booking charge or declaration that runs twice, or that is
  reported as not run although it ran. The caller retries with the same
  idempotency key at another entry; the log service loses its reply after the
  write; the service loses its reply after the run. An entry that retries a call
  that reached the back end, or that decides alone who owns a key, would cause
  this.

  Background:
    Given the site is up with an active catalogue

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
