"""Adapter to the users' platform: translates names, formats and calls, and decides nothing."""
