"""Event clock, event ring and timeline."""
