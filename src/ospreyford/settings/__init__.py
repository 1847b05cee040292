"""TOML settings of each program, validated at startup."""
