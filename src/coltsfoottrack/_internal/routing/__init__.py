"""Choice of a node for a call, sending, and retries."""
