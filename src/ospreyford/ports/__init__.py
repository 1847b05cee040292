"""Ports: interfaces used by the domain logic, implemented by adapters."""
