"""Members of a cluster as one process knows them, and their failure detection."""

from coltsfoottrack._internal.membership.cluster import ClusterMembership
from coltsfoottrack._internal.membership.table import MembershipTable

__all__ = ["ClusterMembership", "MembershipTable"]
