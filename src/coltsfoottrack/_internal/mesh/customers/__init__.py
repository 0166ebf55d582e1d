"""Customers: their keys, ranks and quotas at the entry."""
