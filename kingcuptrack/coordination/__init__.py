"""Tasks of a running instance: leadership, scheduling, membership and requests."""
