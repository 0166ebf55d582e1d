"""Runs a case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

import os
import sys
from asyncio import run, timeout
from collections.abc import Awaitable, Callable
from pathlib import Path
from traceback import print_exc

from standins.fleet import CannotRunError, Fleet
from standins.record import Record

BROKEN = 1
HELD = 0
CANNOT_RUN = 2
LONGEST_SECONDS = 110.0


def run_case(
    folder: Path,
    services: list[str],
    play: Callable[[Fleet, Record, bool], Awaitable[bool]],
    proxied: bool = False,
) -> None:
    """Plays a case and exits; ``play`` returns whether the rule was broken."""
    sys.exit(run(_run(folder, services, play, proxied)))


async def _run(
    folder: Path,
    services: list[str],
    play: Callable[[Fleet, Record, bool], Awaitable[bool]],
    proxied: bool,
) -> int:
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("with the disruption" if trouble else "without the disruption")
    fleet = Fleet(record, services, proxied)
    try:
        async with timeout(LONGEST_SECONDS):
            broken = await play(fleet, record, trouble)
    except (CannotRunError, TimeoutError, OSError) as error:
        print_exc()
        record.say(f"cannot run: {error!r}")
        return CANNOT_RUN
    finally:
        await fleet.stop()
    record.say("the rule was broken" if broken else "the rule held")
    return BROKEN if broken else HELD
