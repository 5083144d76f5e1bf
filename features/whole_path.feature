Feature: End-to-end requests
  From a caller, through an entry host, to a backend server, and back.

  Background:
    Given an entry host with two models and an order desk
    And the clock is at 1000 seconds

  Scenario: A streamed completion, a plain one and calls to a service
    When the caller streams a completion from "linen-small" as "quote-1"
    And the clock advances by 2 seconds
    And the caller requests a completion from "auto" as "quote-2"
    And the caller looks up the stock as "stock-1"
    And the caller reserves a pallet as "pallet-1"
    And the caller requests a completion from "walnut" as "quote-3"
    Then the events equal the golden file "whole_path.jsonl"

  Scenario: A session keeps its version
    When the caller requests a completion from "auto" as "first"
    And the caller continues the session with "auto" as "second"
    Then both completions come from the same version

  Scenario Outline: Invalid input gets a typed error and nothing runs
    When the caller sends <input>
    Then the response is <status> with code "<code>" and nothing ran

    Examples:
      | input                        | status | code               |
      | no key                       | 401    | key_missing        |
      | a wrong key                  | 401    | key_wrong          |
      | malformed JSON               | 400    | malformed          |
      | a body of the wrong type     | 400    | malformed          |
      | messages of the wrong type   | 400    | malformed          |
      | a body over the limit        | 413    | body_too_large     |
      | a body over the parser limit | 413    | body_too_large     |
      | too many headers             | 400    | malformed          |
      | headers that are too long    | 400    | malformed          |
      | an unknown model             | 404    | model_unknown      |
      | a model of another team      | 403    | model_not_allowed  |
      | a forged session             | 400    | session_invalid    |
      | an expired deadline          | 504    | deadline_expired   |
      | a deadline that is no number | 400    | malformed          |
      | an unknown path              | 404    | not_found          |
      | an unknown service           | 404    | service_unknown    |
      | a GET on chat                | 405    | method_not_allowed |
