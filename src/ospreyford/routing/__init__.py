"""Choice of a backend server for a request."""
