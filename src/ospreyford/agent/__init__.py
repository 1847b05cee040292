"""The process beside a backend server: the only way to that server."""
