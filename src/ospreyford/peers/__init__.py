"""Question and answer between the system's processes, over ZeroMQ."""
