@nosite @platform
Feature: the entry with the platform's wire formats

  Guards against a caller that gets an incomplete response or one of another
  request, and against a second run of a request that must run only once. A
  replica handles one request as the row says, and the entry misreads the
  outcome.

  Background:
    Given an entry on the platform with two plain and two pool replicas

  Scenario Outline: a <kind> request meets a replica that <fault>
    When a "<kind>" request meets a replica that "<fault>"
    Then the caller gets status <status> and "<body>"
    And the request ran <runs> times

    Examples:
      | kind           | fault                  | status | body     | runs |
      | idempotent     | ok                     | 200    | whole    | 1    |
      | idempotent     | refuses                | 200    | whole    | 1    |
      | idempotent     | fails                  | 200    | whole    | 2    |
      | idempotent     | resets                 | 200    | whole    | 2    |
      | idempotent     | closes                 | 200    | whole    | 2    |
      | idempotent     | cuts its answer        | 200    | whole    | 2    |
      | idempotent     | sends garbage          | 200    | whole    | 2    |
      | idempotent     | answers unsealed       | 200    | whole    | 2    |
      | idempotent     | answers encoded        | 200    | whole    | 2    |
      | idempotent     | answers another first  | 200    | whole    | 1    |
      | idempotent     | answers twice          | 200    | whole    | 1    |
      | idempotent     | ends without length    | 200    | whole    | 1    |
      | idempotent     | hangs                  | 200    | whole    | 2    |
      | idempotent     | answers slowly         | 200    | whole    | 1    |
      | non_idempotent | ok                     | 200    | whole    | 1    |
      | non_idempotent | refuses                | 503    | not run  | 0    |
      | non_idempotent | fails                  | 500    | whole    | 1    |
      | non_idempotent | resets                 | 502    | unknown  | 1    |
      | non_idempotent | closes                 | 502    | unknown  | 1    |
      | non_idempotent | cuts its answer        | 502    | unknown  | 1    |
      | non_idempotent | sends garbage          | 502    | unknown  | 1    |
      | non_idempotent | answers unsealed       | 502    | unknown  | 1    |
      | non_idempotent | answers encoded        | 502    | unknown  | 1    |
      | non_idempotent | answers another first  | 200    | whole    | 1    |
      | non_idempotent | answers twice          | 200    | whole    | 1    |
      | non_idempotent | ends without length    | 200    | whole    | 1    |
      | non_idempotent | hangs                  | 504    | unknown  | 1    |
      | streaming      | ok                     | 200    | events   | 1    |
      | streaming      | refuses                | 503    | not run  | 0    |
      | streaming      | breaks after two events| 200    | broken   | 1    |
      | streaming      | breaks inside an event | 200    | broken   | 1    |
      | streaming      | breaks before an event | 502    | unknown  | 1    |
      | resumable      | breaks after two events| 200    | events   | 2    |
      | resumable      | breaks inside an event | 200    | events   | 2    |
      | resumable      | breaks before an event | 200    | events   | 2    |

  # Guards against streams that are aborted while their replica still works.
  # The only replica preempts a run for more urgent requests and resumes it
  # 1.4 s later. The entry must not abandon the stream for another replica when
  # there is none.
  Scenario: a stream that is silent for long at the only replica
    Given only one pool replica is left
    When a "resumable" request meets a replica that "is silent after two events"
    Then the caller gets status 200 and "events"
    And the request ran 1 times

  Scenario Outline: a long response whose replica <fault>, its KV backup's replica <copy>
    Given a third pool replica
    When the replica of a long response "<fault>" while its KV backup's replica is <copy>
    Then the caller gets status 200 and "<body>"
    And it ran once and was resumed <times> times

    Examples:
      | fault                    | copy | body   | times |
      | crashes after two events | up   | events | 1     |
      | crashes after two events | gone | broken | 0     |
      | breaks after two events  | up   | broken | 0     |
      | stalls after two events  | up   | events | 0     |
      | goes dark after two events | up | events | 1     |
      | goes dark after two events | gone | broken | 0   |

  # Guards against a restored stream that is cut and looks complete.
  Scenario: a long response is restored from its KV backup and closed inside an event
    Given a third pool replica
    When the replica of a long response "crashes after two events", and the one that restores it "closes inside an event"
    Then the caller gets status 200 and "broken"
    And it ran once and was resumed 1 times

  Scenario: a second response never reaches the next caller
    When requests are sent one after another to replicas that answer twice
    Then each caller got its own response

  Scenario: a caller that disconnects cancels its request
    When a caller disconnects while its "idempotent" request runs
    Then the replica sees the request's connection close

  Scenario: which headers a replica receives
    When a caller sends headers that only the entry may set
    Then the replica got the request unchanged and the entry's own headers
    And the replica did not get the caller's key

  Scenario Outline: a request that the configuration does not allow: <case>
    When a caller sends "<case>"
    Then the caller gets status <status> and no replica received it

    Examples:
      | case             | status |
      | an unknown path  | 404    |
      | an unknown host  | 404    |
      | an unknown key   | 401    |
      | no key           | 401    |
      | no request id    | 400    |
      | a large head     | 431    |
      | a large body     | 413    |
      | no request       | 400    |

  Scenario: a revoked key
    When the key of "gate" is revoked
    Then requests with that key soon get status 401

  Scenario: a short bound on revoked keys
    When requests with a key arrive for longer than the revocation bound
    Then no request is refused while the store responds

  Scenario: a store that stops responding, so that a key may be revoked unseen
    When the store stops responding
    Then requests with a key get status 503 within the revocation bound
    And requests on an open route are still served
    When the store responds again
    Then requests with a key are served again

  Scenario: a configuration read from a store that drops its history
    When the store drops its history while new versions are written
    Then the newest version is active

  Scenario: malformed records
    When records that cannot be decoded are written
    Then they are logged, and requests are still served

  Scenario: a replica that is draining
    When a plain replica reports that it is draining
    Then it soon receives no new requests

  Scenario: replicas whose records lapse while the store is unavailable
    When the store is unavailable while all plain replicas' records lapse
    Then requests are served when the store is available again

  Scenario: a shutdown truncates no stream
    When the entry gets a stop signal while streams run
    Then it is not ready, completes the streams and exits by itself

  Scenario: requests that arrive until the end of a shutdown
    When the entry gets a stop signal while requests keep arriving
    Then every request that reached a replica got a complete response

  Scenario: requests that arrive late in a shutdown while a long one runs
    When the entry gets a stop signal while a request hangs
    Then it accepts no new connection once the load balancer had time to notice

  Scenario: an entry without a configuration
    When an entry starts while the store does not respond
    Then it is not ready and responds with status 503

  # Guards against a burst in which every queued request misses its deadline
  # and its caller disconnects before the response. Prompts queue at every
  # replica and more arrive: a request that can only be late must not be queued.
  Scenario: a queue that is too long for less urgent requests
    Given long prompts wait at every pool replica
    When a less urgent and a more urgent request arrive
    Then the less urgent one is refused at once, gets a retry time and never runs
    And the more urgent one is served
