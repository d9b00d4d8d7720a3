@nosite
Feature: Settings: a bad file stops the process with an error naming the key
  Guards against an entry that starts with a wrong setting and misroutes without
  an error. An operator mistypes a key, a type or an address. Settings that are
  read without validation would cause this.

  Scenario Outline: A bad settings file is refused before start
    Given an entry settings file with <change>
    When the entry is started on it
    Then it exits with status 2 and the error names "<names>"

    Examples:
      | change                             | names                 |
      | listen = "nowhere"                 | not host:port         |
      | entries = "two"                    | $.entry.entries       |
      | an unknown key colour = "red"      | colour                |
      | backend kind = "robot"             | backends[0].kind      |
      | no file at all                     | No such file          |
      | broken TOML                        | not TOML              |
      | entries = 0                        | entry.entries         |
