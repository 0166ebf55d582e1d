"""Stand-ins for the platform, its upstreams and its clients, for the cases of the review."""
