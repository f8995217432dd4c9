"""Clients and servers: the only code that opens sockets."""
