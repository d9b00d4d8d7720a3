@nosite @platform
Feature: entries on the platform that share reads of the store

  Guards against healthy entries that refuse callers, or that accept a key
  after it was revoked, when the entries that read the store for them stop: the
  others must not rely on data that they received before.

  Background:
    Given five entries on the platform that share reads of the store

  Scenario: the number of calls does not grow with the number of entries
    Then the store gets no more calls than three entries make

  Scenario Outline: the entries that read are <how>
    When the entries that read are <how>
    Then the other entries keep serving requests with a key
    And the other entries soon refuse a revoked key

    Examples:
      | how    |
      | killed |
      | paused |

  Scenario: an entry that was paused while a key was revoked
    When an entry is paused, a key is revoked, and the entry resumes
    Then no request with that key runs from then on

  Scenario: the store stops responding to all entries
    When the store stops responding to all five entries
    Then requests with a key are refused at all five within the revocation bound
    And they are served at all five when the store responds again
