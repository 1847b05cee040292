"""Sendings to a backend of a limited rate, granted to entries by agents."""
