"""The routed path: requests of a service mesh, from the caller's node to the backend server."""
