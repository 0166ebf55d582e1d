"""Metadata of a call: identifiers, deadline, attempt budget, outcome and authentication."""
