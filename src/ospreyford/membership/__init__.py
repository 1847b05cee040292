"""Cluster membership and failure detection: SWIM with incarnations."""
