"""HTTP/1.1 on curio sockets, parsed by h11."""
