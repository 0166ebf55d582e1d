"""Rates that all nodes of the mesh share."""
