"""Stand-ins of the platform and the workers, load generators and experiments."""
