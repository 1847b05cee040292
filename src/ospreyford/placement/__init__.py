"""Placement: which expert goes on which ranks of a lock-step group."""
