"""Which requests a node runs, in which order, and how many at once."""
