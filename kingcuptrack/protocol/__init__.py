"""Typed messages, bodies and outcomes, and their codecs; no sockets."""
