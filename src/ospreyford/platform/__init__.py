"""The adapter of the users' platform: its store, settings, names and calls.

Nothing outside this package knows the platform's names.
"""
