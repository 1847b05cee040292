"""Placement of experts on the ranks of a lock-step group."""
