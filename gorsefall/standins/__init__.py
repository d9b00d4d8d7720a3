"""Stand-ins for the platform's systems, each a separate process."""
