"""Admission control: concurrency limits, priority queues and quarantine of requests."""
