"""Reads the decision logs of the nodes of a mesh, and explains requests from them."""
