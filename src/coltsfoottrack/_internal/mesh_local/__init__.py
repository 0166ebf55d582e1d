"""A mesh whose nodes share a directory: routes and settings from YAML files, no platform."""
