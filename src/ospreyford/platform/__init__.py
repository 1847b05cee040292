"""Adapters to the platform's host list."""
