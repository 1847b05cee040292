"""Ospreyford: a load balancer for expert-parallel model groups."""
