"""Service mesh: routes requests from the caller's node to a backend server."""
