"""Agent process that proxies all requests to one backend server."""
