"""Logs, metrics, trace spans and the admin HTTP port."""
