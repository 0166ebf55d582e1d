"""Settings files of the daemons: schema rules, loader and reference page."""
