"""Entries that reach backend servers directly, without an agent between."""
