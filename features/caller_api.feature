Feature: Caller API (OpenAI-compatible and plain services)
  Standard clients work unchanged; bad input gets a clear coded error and
  loses nothing.

  Background:
    Given the site is up with the catalogue in force

  Scenario: An unmodified OpenAI client gets a whole and a streamed answer
    When an OpenAI client asks entry "entry-a" as "traveller-app" class "seat"
    Then the whole answer and the streamed answer are the same complete text

  Scenario: A plain-service call is answered by a booking replica
    When "hotel-desk" calls "booking" op "seat_query" in class "seat-query"
    Then the reply has status 200 and came from a booking replica

  Scenario Outline: Bad input is refused with a code and nothing runs
    When a caller sends <case> to the chat route
    Then the reply has status <status> and error code "<code>"
    And entry "entry-a" still answers health checks

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
    Then the reply has status 200 and a whole text
