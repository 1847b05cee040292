"""How published documents reach every process."""
