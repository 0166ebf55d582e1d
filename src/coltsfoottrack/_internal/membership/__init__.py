"""Which nodes exist and which are alive."""
