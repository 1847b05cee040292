"""Hosts and their leaving marks, read by few and learned by all."""
