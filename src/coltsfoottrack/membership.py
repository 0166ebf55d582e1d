"""Cluster membership as known to one process, and failure detection."""

from coltsfoottrack._internal.membership.cluster import ClusterMembership
from coltsfoottrack._internal.membership.table import MembershipTable

__all__ = ["ClusterMembership", "MembershipTable"]
