"""Stand-ins for the platform and the workers, and a load generator."""
