"""The entry daemon: the process on each entry VM."""
