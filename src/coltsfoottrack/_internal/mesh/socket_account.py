"""Account of a node's sockets: callers, other nodes, the backend server and the store."""

from resource import RLIM_INFINITY, RLIMIT_NOFILE, getrlimit

from coltsfoottrack._internal.mesh.caller_group import CONNECTION_BYTES
from coltsfoottrack._internal.mesh.memory_account import MemoryAccount

# Part of the sockets that callers may have, and that they have in any case.
CALLER_FRACTION = 0.7
MIN_CALLER_FRACTION = 0.25
# Part of the sockets that each of the small ports may have.
SMALL_PORT_FRACTION = 1 / 16
MIN_SMALL_PORT_SOCKETS = 16
# Part of the memory account that the connections of callers may use.
CALLER_MEMORY_FRACTION = 0.5
# Part of the sockets that is accepted in one turn, so that some can be closed before the next.
ACCEPTED_FRACTION = 1 / 32
MIN_ACCEPTED = 4
# Descriptors of the process that are no sockets, if the settings do not tell apart.
OTHER_DESCRIPTORS = 32


def socket_limit(max_sockets: int) -> int:
    """Returns how many sockets the process may have; 0 stands for what the system allows."""
    allowed, _ = getrlimit(RLIMIT_NOFILE)
    if allowed == RLIM_INFINITY:
        return max_sockets or 65536
    allowed = max(1, allowed - OTHER_DESCRIPTORS)
    return min(max_sockets, allowed) if max_sockets else allowed


class SocketAccount:
    """Sockets of one process."""

    def __init__(self, limit: int, account: MemoryAccount) -> None:
        self.limit = limit
        self.by_memory = int(account.limit_bytes * CALLER_MEMORY_FRACTION) // CONNECTION_BYTES
        # Sockets to other nodes and to the backend server.
        self.others = 0

    def caller_limit(self) -> int:
        """Returns how many connections callers may have now."""
        least = int(self.limit * MIN_CALLER_FRACTION)
        most = int(self.limit * CALLER_FRACTION)
        return min(self.by_memory, max(least, min(most, self.limit - self.others)))

    def small_port_limit(self) -> int:
        """Returns how many connections each of the small ports may have."""
        return max(MIN_SMALL_PORT_SOCKETS, int(self.limit * SMALL_PORT_FRACTION))

    def accepted_at_once(self) -> int:
        """Returns how many connections a port accepts in one turn."""
        return max(MIN_ACCEPTED, int(self.limit * ACCEPTED_FRACTION))
