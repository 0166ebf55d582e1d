"""``coltsfoottrack measure``: repeatable measurements on this machine."""

from coltsfoottrack._internal.experiment.measure_membership import measure_membership

SIMULATED_SIZES = (4, 8, 16, 32, 64, 256, 1000)
PROCESS_SIZES = (4, 16, 64)


class MeasureCommands:
    """Measures what the control of a fleet costs, by fleet size."""

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
