"""Certificates and keys: who may speak with whom, and unheard."""
