"""Frames between an entry and an agent, over pooled TCP connections."""
