"""Routing of calls: selection of a node, sending, retries and early refusal."""
