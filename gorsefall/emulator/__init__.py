"""Emulates engines under a load, to compare ways of placing requests.

No network and no clock of its own: entries, engines and requests are objects
driven in order of time, deterministic by seed. The decisions are those of the
product's ``policy`` modules; sites and loads are TOML files.
"""
