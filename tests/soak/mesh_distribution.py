"""Measures in simulated time what members and configurations cost at several mesh sizes.

``python -m tests.soak.mesh_distribution --nodes=12,79,196`` starts a mesh of each size, lets it run
for a minute with three changes of the configuration, and prints one line for each size. A call that
may return old data counts as a tenth of a call, as it is priced.
"""

import sys
from asyncio import get_running_loop, sleep
from typing import NamedTuple

from tests.unit.simulated_mesh import SimulatedMesh, run_simulated

DEFAULT_NODES = "12,25,79,196"
DOMAINS = 5
START_SECONDS = 10.0
MAX_START_SECONDS = 60.0
STEP_SECONDS = 0.1
RUN_SECONDS = 60.0
CHANGES = 3


class Cost(NamedTuple):
    """Figures of one mesh size."""

    nodes: int
    watchers: int
    start_calls: float
    # From the first process to the last node that knows all others, in seconds.
    all_known_after: float
    # Without calls that a change causes.
    calls_per_minute: float
    calls_per_change: float
    # Longest time from the store's answer to the last node, in seconds.
    slowest_change: float
    messages_per_node_second: float
    bytes_per_node_second: float


def all_known(mesh: SimulatedMesh) -> bool:
    """Returns whether each node knows all nodes."""
    count = len(mesh.nodes)
    return all(len(node.directory.peers) == count for node in mesh.nodes.values())


async def seconds_until_known(mesh: SimulatedMesh) -> float:
    """Waits until each node knows all others; returns the time."""
    for _ in range(int(MAX_START_SECONDS / STEP_SECONDS)):
        if all_known(mesh):
            break
        await sleep(STEP_SECONDS)
    return get_running_loop().time()


async def measure(count: int) -> Cost:
    """Returns the figures of one size."""
    loop = get_running_loop()
    mesh = SimulatedMesh()
    began = loop.time()
    mesh.add_all(count, DOMAINS)
    known_after = await seconds_until_known(mesh) - began
    await sleep(max(0.0, START_SECONDS - known_after))
    start_calls = mesh.store.calls
    messages, sent = mesh.messages_sent, mesh.bytes_sent
    slowest = 0.0
    change_calls = 0.0
    for version in range(2, 2 + CHANGES):
        await sleep(RUN_SECONDS / CHANGES - 1.0)
        before = mesh.store.calls
        stored = loop.time()
        mesh.store.put_configuration(version)
        await sleep(1.0)
        change_calls += mesh.store.calls - before
        slowest = max(slowest, *(node.in_force[version] - stored for node in mesh.running()))
    node_seconds = count * RUN_SECONDS
    return Cost(
        count,
        len(mesh.watching()),
        start_calls,
        known_after,
        mesh.store.calls - start_calls - change_calls,
        change_calls / CHANGES,
        slowest,
        (mesh.messages_sent - messages) / node_seconds,
        (mesh.bytes_sent - sent) / node_seconds,
    )


def main() -> int:
    """Prints the figures of the sizes that the arguments select; returns the exit status."""
    options = dict(argument.removeprefix("--").split("=", 1) for argument in sys.argv[1:])
    print("  ".join(Cost._fields))
    for text in options.get("nodes", DEFAULT_NODES).split(","):
        cost = run_simulated(measure(int(text)))
        print("  ".join(f"{value:.3g}" for value in cost), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
