"""The platform's part that ends and restarts nodes."""

from asyncio import Event, sleep
from signal import SIGKILL

from standins.fleet import MEMORY_MB, Fleet, Machine, resident_bytes
from standins.record import Record

MEGABYTE = 1024 * 1024
RESTART_SECONDS = 0.3
SAMPLE_SECONDS = 0.02


class Platform:
    """Ends and restarts processes that exceed their memory; counts the ends."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        self.fleet = fleet
        self.record = record
        self.ends = {machine.name: 0 for machine in fleet.machines}
        self.most = {machine.name: 0 for machine in fleet.machines}
        # Set while the node of a machine runs.
        self.up = {machine.name: Event() for machine in fleet.machines}
        for up in self.up.values():
            up.set()

    async def watch(self, machine: Machine) -> None:
        """Looks at the memory of a node until cancelled."""
        while True:
            used = resident_bytes(machine.process)
            self.most[machine.name] = max(self.most[machine.name], used)
            if used > MEMORY_MB * MEGABYTE:
                await self._restart(machine, used)
            await sleep(SAMPLE_SECONDS)

    async def _restart(self, machine: Machine, used: int) -> None:
        self.ends[machine.name] += 1
        self.up[machine.name].clear()
        self.record.say(
            f"node of {machine.name} holds {used // MEGABYTE} MB, over its {MEMORY_MB} MB:"
            " the platform ends it"
        )
        machine.process.send_signal(SIGKILL)
        await machine.process.wait()
        await sleep(RESTART_SECONDS)
        await self.fleet.start_node(machine)
        await self.fleet.wait_ready(machine)
        self.up[machine.name].set()

    def report(self) -> None:
        """Writes how often each node was ended, and how much memory it has held."""
        for name, ends in self.ends.items():
            self.record.say(f"{name}: {ends} ends, at most {self.most[name] // MEGABYTE} MB")
