"""Stand-ins for the systems an entry talks to, one process each."""
