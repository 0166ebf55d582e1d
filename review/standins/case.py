"""Runs a case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

import os
import sys
from asyncio import CancelledError, current_task, get_running_loop, run, timeout
from collections.abc import Awaitable, Callable
from pathlib import Path
from signal import SIGINT, SIGTERM
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
    try:
        fleet = Fleet(record, services, proxied)
    except CannotRunError as error:
        record.say(f"cannot run: {error}")
        return CANNOT_RUN
    for number in (SIGTERM, SIGINT):
        # The processes that the case started must not outlast it.
        get_running_loop().add_signal_handler(number, current_task().cancel)
    try:
        async with timeout(LONGEST_SECONDS):
            broken = await play(fleet, record, trouble)
    except CancelledError:
        record.say("cannot run: ended by a signal")
        return CANNOT_RUN
    except Exception as error:
        # Also an error of the script itself must not look like a broken rule.
        print_exc()
        record.say(f"cannot run: {error!r}")
        return CANNOT_RUN
    finally:
        await fleet.stop()
    record.say("the rule was broken" if broken else "the rule held")
    return BROKEN if broken else HELD
