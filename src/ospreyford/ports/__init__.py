"""Ports: the interfaces that the decisions use and the adapters fill."""
