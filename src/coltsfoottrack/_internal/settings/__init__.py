"""Settings files of the daemons."""
