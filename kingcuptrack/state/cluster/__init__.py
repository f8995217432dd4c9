"""What is known of workers, runs and their times; may import ``jobs``."""
