@nosite @platform
Feature: streams go on at the software version that began them

  Guards against a stream that holds events of two software versions of one
  service: a replica of another version goes on with it, as the run breaks off,
  says nothing, or is taken up by its caller. Replicas do not check this.

  Background:
    Given three entries before replicas of the versions "v1 v2"

  Scenario Outline: the replica of a stream <fault>, and the other one has another version
    When the replica of a resumable stream "<fault>"
    Then the caller gets status 200 and "<body>"
    And one version wrote the stream

    Examples:
      | fault                      | body   |
      | breaks after two events    | broken |
      | closes inside an event     | broken |
      | crashes after two events   | broken |
      | is silent after two events | events |

  Scenario: a stream that has no event yet begins anew at any version
    When the replica of a resumable stream "breaks before an event"
    Then the caller gets status 200 and "events"

  Scenario Outline: the replica of a stream <fault>, and others of its version are left
    Given more replicas of the versions "v1 v2 v2"
    When the replicas of ten resumable streams "<fault>"
    Then all ten callers get the whole stream
    And one version wrote each stream

    Examples:
      | fault                      |
      | breaks after two events    |
      | closes inside an event     |
      | is silent after two events |

  Scenario Outline: callers take their streams up at <where>, <event>
    Given more replicas of the versions "v1 v2 v2"
    When ten callers leave their streams after two events
    And <event>
    And the callers take their streams up at <where>
    Then all ten get the rest of their streams
    And one version wrote each stream

    Examples:
      | where          | event                                 |
      | the same entry | all entries go on                     |
      | another entry  | all entries go on                     |
      | another entry  | the entry that they left is killed    |
      | the same entry | the entry that they left is restarted |
      | another entry  | that entry is restarted               |
      | another entry  | the store stops responding            |

  # Guards against a stream that goes on from a copy at another version.
  Scenario: the KV backup of a run is held by a replica of its version
    Given more replicas of the versions "v1 v2"
    When ten long responses are generated
    Then KV backups are held by other replicas of the same version

  Scenario: a KV backup needs a second replica of the version
    When ten long responses are generated
    Then no run has a KV backup

  # Guards against entries that start anew, know of one version and go on there
  # with streams of another one that has left.
  Scenario Outline: <first>, <then>, and callers take their streams up
    Given more replicas of the versions "v1 v2 v2"
    When ten callers leave their streams after two events
    And <first>
    And <then>
    And the callers take their streams up at all entries in turn
    Then no stream is joined from two versions, and what is refused has not run

    Examples:
      | first                                        | then                                         |
      | the replicas of the version "v1" are gone    | all entries are killed and start again       |
      | the replicas of the version "v1" are gone    | each entry is killed and started in turn     |
      | all entries are killed, and "v1" leaves      | all entries start again                      |
      | all entries are killed, and "v1" leaves      | all entries start again without the store    |
      | the replicas of the version "v1" are gone    | all entries are replaced by new ones         |

  # Guards against streams that nobody goes on with though their replicas serve.
  Scenario: all entries are killed while two versions serve
    Given more replicas of the versions "v1 v2 v2"
    When ten callers leave their streams after two events
    And the streams have run for a second
    And all entries are killed and start again
    And the callers take their streams up at all entries in turn
    Then no stream is joined from two versions, and what is refused has not run
    And at least half of the streams go on

  Scenario: all entries are killed while one version serves
    Given three entries before replicas of the versions "v1 v1"
    When ten callers leave their streams after two events
    And all entries are killed and start again
    And the callers take their streams up at all entries in turn
    Then all ten get the rest of their streams

  # Guards against entries that store the only version some time after streams
  # have begun at it.
  Scenario: another version replaces the only one while all entries are gone
    Given three entries before replicas of the versions "v1 v1"
    When ten callers leave their streams after two events
    And all entries are killed, and "v1" leaves
    And all entries start again
    And replicas of the versions "v2 v2" come
    And the callers take their streams up at all entries in turn
    Then no stream is joined from two versions, and what is refused has not run

  # Guards against a service's first version that is left to an entry which is
  # held up, so that nobody stores it.
  Scenario Outline: another version replaces a first one that came as the entry that stores versions was <fault>
    Given three entries before a service without replicas
    When the entry that stores versions is <fault> as replicas of the versions "v1 v1" come
    And ten callers leave their streams after <count> events there
    And all entries are killed
    And replicas of the versions "v2 v2" replace all others
    And all entries start again
    And the callers take their streams up at all entries in turn
    Then no stream is joined from two versions, and what is refused has not run

    Examples:
      | fault  | count |
      | frozen | 1     |
      | frozen | 2     |
      | killed | 1     |
      | killed | 2     |

  # Guards against streams that nobody goes on with as their version is stored,
  # but not that no other one was.
  Scenario Outline: a first version stays that came as the entry that stores versions was <fault>
    Given three entries before a service without replicas
    When the entry that stores versions is <fault> as replicas of the versions "v1 v1" come
    And ten callers leave their streams after 1 events there
    And all entries are killed
    And all entries start again
    And the callers take their streams up at all entries in turn
    Then no stream is joined from two versions, and what is refused has not run
    And at least half of the streams go on

    Examples:
      | fault  |
      | frozen |
      | killed |

  # Guards against streams that begin at a version which nobody can store.
  Scenario: the store shows no versions as a second one comes
    Given three entries before replicas of the versions "v1 v1"
    When the versions can be neither read nor written
    And replicas of the versions "v2 v2 v2" come
    And ten callers leave their streams after two events
    And the replicas of the version "v2" are gone
    And all entries are killed, and the versions can be read again
    And all entries start again
    And the callers take their streams up at all entries in turn
    Then no stream is joined from two versions, and what is refused has not run

  # Guards against a stream that goes on at a service that did not begin it.
  Scenario: a route is moved, and the entry of its streams is killed
    Given three entries before replicas of the versions "v1 v1"
    When ten callers leave their streams after two events
    And the route is moved to another service with replicas "w1 w1"
    And the entry that they left is killed
    And the callers take their streams up at another entry
    Then no stream is joined from two versions, and what is refused has not run

  # Guards against a move of a route that only entries remember.
  Scenario: a route is moved, and all entries are killed
    Given three entries before replicas of the versions "v1 v1"
    When ten callers leave their streams after two events
    And the services of the routes are stored
    And the route is moved to another service with replicas "w1 w1"
    And all entries are killed and start again
    And the callers take their streams up at all entries in turn
    Then no stream is joined from two versions, and what is refused has not run

  # Guards against streams that nobody begins as the store takes no writes.
  Scenario: the replicas of the only stored version leave
    Given three entries before replicas of the versions "v1 v1"
    When the versions cannot be written
    And replicas of the versions "v2 v2" come
    And the replicas of the version "v1" are gone
    Then a new stream is served

  Scenario: a chain of takes
    Given more replicas of the versions "v1 v2 v2"
    When ten callers leave their streams after two events
    And the callers take their streams up at another entry and leave after one more event
    And the callers take their streams up at the same entry
    Then all ten get the rest of their streams
    And one version wrote each stream

  Scenario: no replica of the version is left
    When a caller leaves its stream after two events
    And the replicas of its version are gone
    Then a caller that takes it up is told at once that it has not run

  Scenario Outline: a caller takes up <whose>
    When a caller leaves its stream after two events
    Then a caller that takes up <whose> gets <status> at once, and nothing runs

    Examples:
      | whose                         | status |
      | a stream that nobody knows    | 503    |
      | the stream of another account | 503    |
      | its own request               | 503    |
      | an id of 2,000 bytes          | 400    |
      | an empty id                   | 400    |

  Scenario: one version serves, and an id that nobody knows
    Given three entries before replicas of the versions "v1 v1"
    Then a caller that takes up a stream that nobody knows gets the rest of it

  # Guards against an entry that fails in the end of a response without events.
  Scenario: a caller takes up a stream of which only the end is left
    Given three entries before replicas of the versions "v1 v1"
    Then a caller that has all events of a stream and takes it up gets its end
    And the log shows the outcome "served"
