"""Discrete-event simulation of engines under load.

Compares placement policies without network or real time: entries, engines and
requests are objects whose events are processed in order of simulated time,
deterministically for a seed. Decisions are made by the ``policy`` modules that
the entries use; sites and loads are TOML files.
"""
