"""Admission, scheduling and routing decisions, free of I/O."""
