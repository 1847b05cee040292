"""Frame protocol between entries and agents over pooled TCP connections."""
