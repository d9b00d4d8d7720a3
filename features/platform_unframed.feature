@nosite @platform
Feature: responses whose end is not framed, and streams that end inside an event

  Guards against a stream that was broken off and reaches its caller as if it
  were complete: its response had neither a length nor chunks, or they ended in
  the middle of an event, and half of that event is forwarded.

  Background:
    Given an entry on the platform with two plain and two pool replicas

  Scenario Outline: a <kind> stream whose replica <fault>
    When a "<kind>" request meets a replica that "<fault>"
    Then the caller gets status <status> and "<body>"
    And the request ran <runs> times

    Examples:
      | kind      | fault                            | status | body    | runs |
      | streaming | ends unframed                    | 200    | events  | 1    |
      | streaming | closes inside an event           | 200    | broken  | 1    |
      | streaming | closes inside an id              | 200    | broken  | 1    |
      | streaming | closes inside the first event    | 502    | unknown | 1    |
      | streaming | closes before an event           | 502    | unknown | 1    |
      | streaming | resets unframed after two events | 200    | broken  | 1    |
      | streaming | ends its chunks inside an event  | 200    | broken  | 1    |
      | streaming | ends its length inside an event  | 200    | broken  | 1    |
      | resumable | ends unframed                    | 200    | events  | 1    |
      | resumable | closes inside an event           | 200    | events  | 2    |
      | resumable | closes inside an id              | 200    | events  | 2    |
      | resumable | closes inside the first event    | 200    | events  | 2    |
      | resumable | closes before an event           | 200    | events  | 2    |
      | resumable | resets unframed after two events | 200    | events  | 2    |
      | resumable | ends its chunks inside an event  | 200    | events  | 2    |
      | resumable | ends its length inside an event  | 200    | events  | 2    |

  # Guards against answers that are broken off for not being events.
  Scenario Outline: a <kind> request whose replica <fault>
    When a "<kind>" request meets a replica that "<fault>"
    Then the caller gets status <status> and "<body>"
    And the request ran <runs> times

    Examples:
      | kind      | fault                                  | status | body    | runs |
      | streaming | answers with another type              | 200    | whole   | 1    |
      | resumable | answers with another type              | 200    | whole   | 1    |
      | streaming | answers without a type                 | 200    | whole   | 1    |
      | streaming | ends its chunks inside the first event | 502    | unknown | 1    |

  # Guards against an answer that is cut where nothing in it shows, as the
  # process of its replica ends and the kernel closes its connections.
  Scenario Outline: a <kind> response whose replica <fault>
    When a "<kind>" request meets a replica that "<fault>"
    Then the caller gets status <status> and "<body>"
    And the request ran <runs> times

    Examples:
      | kind           | fault                           | status | body    | runs |
      | streaming      | exits after two unframed events | 200    | broken  | 1    |
      | resumable      | exits after two unframed events | 200    | events  | 2    |
      | idempotent     | exits in an unframed answer     | 200    | whole   | 2    |
      | non_idempotent | exits in an unframed answer     | 502    | unknown | 1    |

  # Guards against whole streams that are broken off for what follows their last
  # event, or for what is missing there.
  Scenario Outline: a whole stream that <fault>
    When a "<kind>" request meets a replica that "<fault>"
    Then the caller gets the whole stream, which <fault>
    And the request ran 1 times

    Examples:
      | kind      | fault                                     |
      | streaming | ends unframed with a comment              |
      | streaming | ends unframed with spaces                 |
      | streaming | ends unframed without its last empty line |
      | resumable | ends unframed with a comment              |
      | resumable | ends unframed without its last empty line |

  # Guards against a break that counts as a run that went well.
  Scenario: both replicas close a stream inside an event
    When the replica of a "resumable" request "closes inside an event", and the next one "closes inside an event"
    Then the caller gets status 200 and "broken"
    And the request ran 2 times
    And the log shows 2 attempts that "ended inside an event"
    And the log shows the outcome "broken_off"

  # Guards against a response that only its connection ends, as the caller
  # speaks HTTP/1.0: there the end of the connection says that it is whole.
  Scenario: a caller that knows no chunks, and a stream that is closed inside an event
    When a caller of HTTP/1.0 meets a replica that "closes inside an event"
    Then the caller gets status 200 and "broken"
