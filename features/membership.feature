Feature: VM list: replicas and entries come and go
  Guards against requests that are sent to VMs which are leaving or gone, new
  VMs that stay idle, and limits split over entries which no longer run.
  The VM list adds, moves and drops VMs, with a lag, or cannot be read at all.
  Routing by the settings alone, or discarding the known VMs when the list
  fails, would cause this.

  Background:
    Given the site is up with an active catalogue

  Scenario: A replica that is only in the VM list gets requests
    When the VM list shows "engine-6" live at a new engine process
    And 20 seat requests are answered
    Then "engine-6" has served some of them

  Scenario: A replica that left the VM list gets no requests
    When the VM list shows "engine-6" live at a new engine process
    And the VM list drops "engine-6"
    And 20 seat requests are answered
    Then "engine-6" received none of them

  Scenario: The limits are split over the live entries
    When the VM list shows a third entry "entry-z"
    Then every entry splits the limits by 3
    When the VM list drops "entry-z"
    Then every entry splits the limits by 2

  Scenario Outline: A VM list that <fails> does not change the known VMs
    Given the VM list shows "engine-1" leaving and the entries have polled it
    When the VM list has the fault <fault> for a while
    Then "engine-1" is still leaving at every entry
    And 20 seat requests are answered
    And "engine-1" received none of them

    Examples:
      | fails      | fault         |
      | is down    | outage=true   |
      | is slow    | delay_ms=2000 |

  Scenario: A request sent after SIGTERM, before the balancer notices, is served
    When entry "entry-b" gets SIGTERM
    Then entry "entry-b" reports not ready at once
    And a seat request sent to entry "entry-b" still gets a complete response
    And entry "entry-b" exits by itself
