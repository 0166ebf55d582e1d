"""Errors of the experiment tool."""


class ExperimentError(Exception):
    """An experiment cannot be carried out."""
