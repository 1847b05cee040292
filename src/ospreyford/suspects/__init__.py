"""Requests that are suspected of crashing the backends that run them."""
