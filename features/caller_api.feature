Feature: Caller API (OpenAI-compatible and plain services)
  Standard clients work unchanged; invalid input gets an error with a code and
  starts no run.

  Background:
    Given the site is up with an active catalogue

  Scenario: An unmodified OpenAI client gets a plain and a streamed response
    When an OpenAI client asks entry "entry-a" as "traveller-app" class "seat"
    Then the plain and the streamed response contain the same complete text

  Scenario: A booking replica responds to a plain-service call
    When "hotel-desk" calls "booking" op "seat_query" in class "seat-query"
    Then the reply has status 200 and came from a booking replica

  Scenario Outline: Bad input is refused with a code and nothing runs
    When a caller sends <case> to the chat route
    Then the reply has status <status> and error code "<code>"
    And entry "entry-a" still responds to health checks

    Examples:
      | case             | status | code             |
      | malformed JSON   | 400    | bad_request      |
      | no messages      | 400    | bad_request      |
      | no customer      | 400    | bad_request      |
      | unknown customer | 403    | unknown_customer |
      | unknown class    | 403    | unknown_class    |
      | oversized body   | 413    | body_too_large   |
      | unknown route    | 404    | not_found        |

  Scenario: A JSON body sent under a form's content type is read as JSON
    When a caller sends a chat request as a form with "&" and "=" in its text
    Then the reply has status 200 and a complete text
