"""Gossip membership: discovery, registration and failure detection of nodes."""
