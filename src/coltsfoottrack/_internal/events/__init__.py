"""Event clock, event ring and time line."""
