"""Stand-ins of the platform: its store and its replicas."""
