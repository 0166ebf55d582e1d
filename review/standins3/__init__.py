"""Stand-ins of the third review: store, upstream, client, and node processes. Standard library only."""
