Feature: VM list: replicas and entries come and go
  Symptom guarded against: work sent to machines that are leaving or gone,
  new machines left idle, limits split over entries that no longer live.
  Sequence: the VM list adds, moves and drops machines, with a lag, or
  cannot be read at all. Cause it would have: routing on the settings alone,
  or forgetting what was known when the list fails.

  Background:
    Given the site is up with the catalogue in force

  Scenario: A replica that only the VM list knows gets work
    When the VM list shows "engine-6" live at a new engine process
    And 20 seat requests are answered
    Then "engine-6" has answered some of them

  Scenario: A replica the VM list no longer shows gets no work
    When the VM list shows "engine-6" live at a new engine process
    And the VM list drops "engine-6"
    And 20 seat requests are answered
    Then "engine-6" received none of them

  Scenario: The limits follow the entries that live
    When the VM list shows a third entry "entry-z"
    Then every entry splits the limits by 3
    When the VM list drops "entry-z"
    Then every entry splits the limits by 2

  Scenario Outline: A VM list that <fails> leaves what was known in force
    Given the VM list shows "engine-1" leaving and the entries have polled it
    When the VM list has the fault <fault> for a while
    Then "engine-1" is still leaving at every entry
    And 20 seat requests are answered
    And "engine-1" received none of them

    Examples:
      | fails      | fault         |
      | is down    | outage=true   |
      | is slow    | delay_ms=2000 |

  Scenario: A request sent after SIGTERM, before the balancer noticed, is served
    When entry "entry-b" gets SIGTERM
    Then entry "entry-b" reports not ready at once
    And a seat request sent to entry "entry-b" is still answered whole
    And entry "entry-b" exits by itself
