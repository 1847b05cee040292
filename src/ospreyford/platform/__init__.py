"""Adapter to the platform: its store, node settings and HTTP interfaces."""
