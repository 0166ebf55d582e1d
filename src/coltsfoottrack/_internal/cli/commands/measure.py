"""``coltsfoottrack measure``: repeatable measurements on this machine."""

from coltsfoottrack._internal.experiment.measure_calls import print_call_costs, print_steady_keys
from coltsfoottrack._internal.experiment.measure_copies import (
    BLOCK_SECONDS,
    RATES,
    print_copy_costs,
    print_memory_of_copies,
)
from coltsfoottrack._internal.experiment.measure_membership import measure_membership
from coltsfoottrack._internal.experiment.measure_partition import print_partition
from coltsfoottrack._internal.experiment.measure_path import ROUNDS, print_path_cost
from coltsfoottrack._internal.experiment.measure_start import print_starts

SIMULATED_SIZES = (4, 8, 16, 32, 64, 256, 1000)
PROCESS_SIZES = (4, 16, 64)
START_SIZES = (3, 10, 30, 100, 300, 1000)
START_PROCESSES = (8, 16, 32, 64)
PARTITION_SIZES = (12, 100, 400, 1000)


class MeasureCommands:
    """Measures latency, processor time, memory and messages on this machine."""

    def membership(
        self,
        simulated: tuple[int, ...] = SIMULATED_SIZES,
        processes: tuple[int, ...] = PROCESS_SIZES,
    ) -> None:
        """Measures membership and configuration and prints the slopes.

        Args:
            simulated: Sizes of the fleets simulated in this process.
            processes: Numbers of real node processes; an empty list starts none.
        """
        measure_membership(list(simulated), list(processes))

    def partition(self, sizes: tuple[int, ...] = PARTITION_SIZES) -> None:
        """Measures the loss of a region and the end of a partition, in simulated time.

        Args:
            sizes: Sizes of the fleets.
        """
        print_partition(list(sizes))

    def start(
        self,
        simulated: tuple[int, ...] = START_SIZES,
        processes: tuple[int, ...] = START_PROCESSES,
        source: str = "",
    ) -> None:
        """Measures platform calls when all nodes of a fleet start at once on an empty platform.

        Args:
            simulated: Sizes of the fleets simulated in this process.
            processes: Numbers of real node processes; an empty list starts none.
            source: Directory of another checkout whose processes to start instead.
        """
        print_starts(list(simulated), list(processes), source)

    def copies(
        self, rates: tuple[int, ...] = RATES, seconds: float = BLOCK_SECONDS, source: str = ""
    ) -> None:
        """Measures the cost of copies of finished outcomes, and how many a backup can report.

        Args:
            rates: Keyed calls per second at the home node.
            seconds: Duration of the measurement at each rate.
            source: Directory of another checkout to measure instead of this one.
        """
        print_memory_of_copies()
        print_copy_costs(list(rates), seconds, source)

    def path(self, rounds: int = ROUNDS, earlier: str = "") -> None:
        """Measures the latency a node adds to a call, compared with direct calls in the same run.

        Args:
            rounds: Number of rounds of 10 s, alternating between direct calls and calls through
                the node.
            earlier: Source tree of another commit to measure as well; none if empty.
        """
        print_path_cost(rounds, earlier)

    def calls(self, source: str = "") -> None:
        """Measures the cost of calls and idempotency keys in a node, and prints the slopes.

        Args:
            source: Source tree of another commit to measure; this one if empty.
        """
        print_call_costs(source)

    def keys(self) -> None:
        """Measures the memory of finished keys separately from that of recent requests."""
        print_steady_keys()
