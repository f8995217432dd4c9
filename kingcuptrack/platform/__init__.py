"""Adapter to the users' platform: translates messages and makes no decisions."""
