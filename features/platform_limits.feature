@nosite @platform
Feature: replicas that announce how many requests per second they accept

  Guards against an overloaded replica that receives its announced limit from
  each entry separately, which is the limit times the number of entries.

  Background:
    Given five entries on the platform before replicas that can crash

  Scenario: a replica announces a limit and withdraws it
    When a replica announces a limit of 1 request per second while requests arrive at all entries
    Then it receives at most 1.5 times the limit plus five requests in any 4 s
    And all requests are served
    When it withdraws the limit while requests arrive at all entries
    Then it receives its share of the requests again
