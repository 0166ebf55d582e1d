"""A mesh without a platform: nodes share a directory and read routes and settings from YAML."""
