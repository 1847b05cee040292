"""Request/response messaging between processes over ZeroMQ."""
