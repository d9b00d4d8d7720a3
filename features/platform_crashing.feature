@nosite @platform
Feature: requests that crash the replicas that run them

  Guards against one request that crashes replica after replica because each
  attempt is treated as its first, and against good requests that are refused
  as poison requests.

  Background:
    Given five entries on the platform before replicas that can crash

  Scenario: a request that crashes its replicas is sent repeatedly
    When a request that crashes its replicas is sent to each entry in turn
    Then at most three attempts reach replicas after the entries had time to share crashes
    And its last callers get a final response at once
    And good requests of the same caller are served at all five

  Scenario: an entry that restarts learns of the poison request
    When a request that crashes its replicas is sent to each entry in turn
    And an entry is killed and restarted
    Then the request soon gets a final response there

  Scenario: all entries restart
    When a request that crashes its replicas is sent to each entry in turn
    And all entries are killed and restarted
    Then the request soon gets a final response there

  Scenario: good requests under which replicas crash
    When a third of the replicas crash at once, three times, under the same good requests
    Then the good requests are served at all five
    And no entry marks them as poison requests
