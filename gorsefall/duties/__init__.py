"""Duties that one entry at a time performs for the whole deployment."""
