"""Measurements of the policy, of decisions and of capacity slopes."""
