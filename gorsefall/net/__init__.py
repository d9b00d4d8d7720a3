"""Sockets, timers and HTTP clients used by the entry and the relay."""
