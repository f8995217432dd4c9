"""Tasks that own the daemon state and exchange messages."""
