"""The relay: forwards requests byte for byte between callers and back ends."""
