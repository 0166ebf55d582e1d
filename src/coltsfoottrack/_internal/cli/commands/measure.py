"""``coltsfoottrack measure``: repeatable measurements on this machine."""

from coltsfoottrack._internal.experiment.measure_calls import print_call_costs
from coltsfoottrack._internal.experiment.measure_membership import measure_membership
from coltsfoottrack._internal.experiment.measure_path import ROUNDS, print_path_cost

SIMULATED_SIZES = (4, 8, 16, 32, 64, 256, 1000)
PROCESS_SIZES = (4, 16, 64)


class MeasureCommands:
    """Measures latency, processor time, memory and messages on this machine."""

    def membership(
        self,
        simulated: tuple[int, ...] = SIMULATED_SIZES,
        processes: tuple[int, ...] = PROCESS_SIZES,
    ) -> None:
        """Measures membership and configuration and prints the slopes.

        Args:
            simulated: Sizes of the fleet simulated in this process.
            processes: Numbers of real node processes; an empty list starts none.
        """
        measure_membership(list(simulated), list(processes))

    def path(self, rounds: int = ROUNDS, earlier: str = "") -> None:
        """Measures what a node adds to a call, against a direct call in the same run.

        Args:
            rounds: Number of rounds of 10 s, in which direct calls and calls through the node
                take turns.
            earlier: Source tree of another commit to measure beside this one; none if empty.
        """
        print_path_cost(rounds, earlier)

    def calls(self, source: str = "") -> None:
        """Measures what calls and idempotency keys cost a node, and prints the slopes.

        Args:
            source: Source tree of another commit to measure; this one if empty.
        """
        print_call_costs(source)
