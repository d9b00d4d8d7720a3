@nosite @platform
Feature: the entry on the platform's wire

  Symptom in each row: a caller gets what is not its own whole answer, or a
  request that must run once runs again. Sequence: a replica treats one
  request as the row says. Cause: an answer taken for what it is not.

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

  # Symptom: answers end broken in the middle while their replica is at work.
  # Sequence: one replica is left; what it runs is put back for more urgent
  # work and goes on 1.4 s later. Cause: a silent stream was given up for
  # another replica, though there was none.
  Scenario: a stream that is silent for long at the only replica
    Given only one pool replica is left
    When a "resumable" request meets a replica that "is silent after two events"
    Then the caller gets status 200 and "events"
    And the request ran 1 times

  Scenario Outline: a long answer whose replica <fault>, its copy <copy>
    Given a third pool replica
    When a long answer's replica "<fault>" while its copy's replica is <copy>
    Then the caller gets status 200 and "<body>"
    And it ran once and went on <times> times

    Examples:
      | fault                    | copy | body   | times |
      | crashes after two events | up   | events | 1     |
      | crashes after two events | gone | broken | 0     |
      | breaks after two events  | up   | broken | 0     |
      | goes dark after two events | up | events | 1     |
      | goes dark after two events | gone | broken | 0   |

  Scenario: a second answer never reaches the next caller
    When requests follow each other past replicas that answer twice
    Then each caller got its own answer

  Scenario: a caller that leaves stops the work
    When a caller leaves while its "idempotent" request runs
    Then the replica sees the request's channel close

  Scenario: what a replica is told
    When a caller sends headers that only the system may set
    Then the replica got the request's own bytes and the system's orders
    And the replica did not get the caller's key

  Scenario Outline: a request that the configuration does not allow: <case>
    When a caller sends "<case>"
    Then the caller gets status <status> and no replica saw it

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

  Scenario: a key that was taken away
    When the key of "gate" is taken away
    Then requests with it get status 401 soon

  Scenario: a short bound on revoked keys
    When requests with a key come for longer than the bound
    Then none is refused while the store answers

  Scenario: a store that falls silent after a key was taken away
    When the store falls silent
    Then requests with a key get status 503 within the bound
    And requests on an open route are still served
    When the store answers again
    Then requests with a key are served again

  Scenario: a configuration through a store that forgets its history
    When the store forgets its history while versions follow each other
    Then the newest version is in force

  Scenario: a spoilt record
    When a record that cannot be decoded is written
    Then it is logged, and requests are still served

  Scenario: a replica that is draining
    When a plain replica says that it is draining
    Then it soon gets no new work

  Scenario: replicas whose records lapse while the store is away
    When the store is away while the records of all plain replicas lapse
    Then requests are served after its return

  Scenario: nothing is cut by a shutdown
    When the entry is told to stop while streams run
    Then it is not ready, ends them whole and exits by itself

  Scenario: requests that come until the very end of a shutdown
    When the entry is told to stop while callers keep coming
    Then every request that was handed on was answered whole

  Scenario: requests that come late in a shutdown, beside a long one
    When the entry is told to stop while a request hangs
    Then it takes no new channel once the balancer had time to notice

  Scenario: an entry that knows no configuration
    When an entry starts while the store is silent
    Then it is not ready and answers 503

  # Symptom: under a burst everybody in a replica's queue is late and leaves
  # before the answer. Sequence: prompts queue at every replica; more come.
  # Cause: what can only come late was queued all the same.
  Scenario: a queue that is too long for the less urgent
    Given long prompts wait at every pool replica
    When a less urgent and a more urgent request come
    Then the less urgent one is told at once when to return and never runs
    And the more urgent one is served
