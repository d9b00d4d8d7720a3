@nosite @platform
Feature: most new connections go to one entry

  Guards against requests that are refused at the entry that gets most of them,
  while what it may send to replicas stands idle at the others.

  Background:
    Given five entries on the platform before 6 replicas

  Scenario Outline: nine in ten new connections go to one entry
    Given the replicas <announce>
    When <rate> requests per second come at all entries, and then most of them at one
    Then requests are served at the first attempt at least three quarters as often as before

    Examples:
      | announce                           | rate |
      | announce nothing                   | 120  |
      | announce 32 requests a second each | 120  |
      | announce that they are brittle     | 160  |
