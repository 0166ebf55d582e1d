"""``coltsfoottrack drain``: drains one node."""

from asyncio import get_running_loop, run, sleep

from fire.decorators import SetParseFn

from coltsfoottrack._internal.cli.exceptions import (
    EXIT_BAD_INPUT,
    EXIT_NOT_CONFIRMED,
    EXIT_UNREACHABLE,
    CommandError,
)
from coltsfoottrack._internal.cli.fleet_client import FleetClient, NodeAnswer
from coltsfoottrack._internal.cli.output import check_output, emit

POLL_SECONDS = 0.25


@SetParseFn(str)
def drain(
    name: str,
    wait: str = "0",
    node: str = "",
    platform: str = "",
    output: str = "text",
    **unknown: str,
) -> None:
    """Drains a node: it takes no new work, and calls in flight are completed.

    Args:
        name: Node to drain, as SERVICE/NAME, as shown by status.
        wait: Maximum seconds to wait until no call is in flight there; 0 does not wait.
        node: Peer address HOST:PORT of any node; default is COLTSFOOTTRACK_NODE.
        platform: Address HOST:PORT of the platform, to discover the nodes.
        output: text or json.
        unknown: Not accepted; the command fails on unknown flags before it does anything.
    """
    reject_unknown_flags(unknown)
    check_output(output)
    if not (wait.isascii() and wait.isdigit()):
        raise CommandError("--wait must be a whole number of seconds", EXIT_BAD_INPUT)
    run(_drain(name, int(wait[:6]), node, platform, output))


def reject_unknown_flags(unknown: dict[str, str]) -> None:
    """Raises CommandError if there are unknown flags.

    Fire reports them only after the command has run, which is too late for one with effects.
    """
    if unknown:
        flags = ", ".join(f"--{name}" for name in unknown)
        raise CommandError(f"unknown flag {flags}; see --help; nothing was done", EXIT_BAD_INPUT)


async def _drain(name: str, wait_seconds: int, node: str, platform: str, output: str) -> None:
    fleet = FleetClient.from_config(node, platform)
    try:
        address = _find_address(await fleet.statuses(), name)
        answer = await fleet.drain(address)
        if answer.reply is None:
            raise CommandError(f"{name} at {address}: {answer.problem}", EXIT_UNREACHABLE)
        in_flight = answer.reply.in_flight
        loop = get_running_loop()
        deadline = loop.time() + wait_seconds
        while in_flight and loop.time() < deadline:
            await sleep(POLL_SECONDS)
            answer = await fleet.drain(address)
            if answer.reply is None:
                in_flight = 0
                break
            in_flight = answer.reply.in_flight
    finally:
        fleet.close()
    text = f"{name} takes no new work; {in_flight} calls in flight"
    emit(output, {"node": name, "address": address, "in_flight": in_flight}, [text])
    if wait_seconds and in_flight:
        raise CommandError(
            f"{in_flight} calls were still in flight at {name} after {wait_seconds} s; wait again",
            EXIT_NOT_CONFIRMED,
        )


def _find_address(answers: list[NodeAnswer], name: str) -> str:
    for answer in answers:
        if name in (answer.name, answer.address):
            return answer.address
    known = ", ".join(sorted(answer.name or answer.address for answer in answers)[:20])
    raise CommandError(f"no node is named {name!r}; known: {known}", EXIT_BAD_INPUT)
