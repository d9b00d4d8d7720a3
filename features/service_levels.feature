Feature: Service levels: tiers, fairness and routing under load and faults
  Guards against urgent requests that wait behind driver notices, a low class
  that is never served, a class that starves its peers, and a slow engine that
  keeps receiving requests. The pool is full when urgent requests arrive; a
  higher tier keeps it full; a class exceeds its limits; an engine slows down or
  load reports stop. One queue for all tiers, strict priority without a bound,
  limits per entry only, or trust in outdated load reports would cause this.

  Background:
    Given the site is up with an active catalogue

  Scenario: Urgent requests are served at once from a pool full of notices
    Given engines step at a twentieth of their speed
    And the pool is full of driver notices and more wait
    When 10 seat requests arrive at entry-a
    Then no seat request waits while notices do
    And every seat request gets a complete response
    And only requests of priority 4 were preempted
    And every notice eventually gets a complete response
    And the site is restored

  Scenario: A notice is served while seat requests keep the pool full
    Given engines step at a twentieth of their speed
    And seat requests keep the pool full
    When a driver notice arrives at entry-a
    Then the notice gets a complete response while seat requests continue
    And it was promoted
    And the site is restored

  Scenario: A class over its limits is refused and its peers are not
    When "trial-app" sends 60 seat requests at once and "staff" sends 6
    Then some of "trial-app" are refused as "rate_limited" with a retry time
    And all of "staff" are answered

  Scenario Outline: Routing when <what>
    Given the replica engine-1 <fault>
    When 60 seat requests are answered one after the other
    Then engine-1 answered at most <most> of them
    And the site is restored

    Examples:
      | what                    | fault            | most |
      | an engine is slow       | is slow          | 6    |
      | an engine crashes       | crashes          | 0    |
      | an engine is down       | is down          | 0    |
