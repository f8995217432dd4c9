"""Typed messages and bodies, and their codecs; opens no sockets."""
