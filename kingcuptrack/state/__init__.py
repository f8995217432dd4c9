"""Pure scheduling state and decisions: no I/O, times are arguments."""
