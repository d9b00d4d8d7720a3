Feature: Engine protocol under faults: each caller gets its own complete response
  Guards against a caller that receives a truncated or repeated response or that
  of another request. An engine crashes in the middle of a response, stalls, or
  refuses; the entry must resume on another replica after the tokens already
  delivered. Relaying without counting delivered tokens, or retrying a stream
  from its start, would cause this.

  Background:
    Given the site is up with an active catalogue

  Scenario Outline: A fault of engines still yields one complete response
    Given engines <engines> have the fault <fault>
    When "traveller-app" asks class "seat" for a streamed response
    Then the streamed response is complete, in order and repeats no token
    And the faults of the engines are cleared

    Examples:
      | engines                            | fault            |
      | engine-1,engine-2                  | crash_after=3    |
      | engine-1,engine-2,engine-3         | crash_after=0    |
      | engine-1,engine-2                  | cut_line=true    |
      | engine-1,engine-2                  | stall=true       |
      | engine-1,engine-2,engine-3,engine-4 | outage=true     |

  Scenario: When every engine refuses, the request is reported as not run
    Given engines engine-1,engine-2,engine-3,engine-4,engine-5 have the fault outage=true
    When "traveller-app" asks class "seat" for a plain response
    Then the reply has status 503 and error code "no_replica"
    And the reply has a retry time
    And the faults of the engines are cleared

  Scenario: When every engine crashes during the response, the caller gets an error code
    Given engines engine-1,engine-2,engine-3,engine-4,engine-5 have the fault crash_after=2
    When "traveller-app" asks class "seat" for a plain response
    Then the reply has status 502 and error code "backend_failed"
    And the faults of the engines are cleared
