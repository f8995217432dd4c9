"""The own interface's instance and placer; the scheduler does not import it."""
