"""Metrics, logs and invariant checks."""
