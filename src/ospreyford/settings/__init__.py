"""TOML settings of each program, checked before anything starts."""
