"""Runs one case: starts its deployment in a temporary folder, ends it, and sets the exit status."""

import os
import sys
import traceback
from asyncio import run, timeout
from collections.abc import Awaitable, Callable
from pathlib import Path
from shutil import copytree, rmtree
from tempfile import mkdtemp

from review.standins3.fleet import Fleet
from review.standins3.record import Record

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
LIMIT_SECONDS = 110.0

Play = Callable[[Fleet, Record, bool], Awaitable[list[str]]]


def main(folder: Path, play: Play) -> None:
    """Plays a case and exits; ``play`` returns what broke the rule, nothing if it held."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note("case", f"{folder.name}, {'with' if trouble else 'without'} the disruption")
    sys.exit(run(_run(record, play, trouble)))


async def _run(record: Record, play: Play, trouble: bool) -> int:
    directory = Path(mkdtemp(prefix="review3-"))
    fleet = Fleet(record, directory)
    status = COULD_NOT_RUN
    try:
        async with timeout(LIMIT_SECONDS):
            broken = await play(fleet, record, trouble)
        for line in broken:
            record.note("broken", line)
        status = BROKEN if broken else HELD
    except Exception:
        record.note("case", traceback.format_exc())
    finally:
        await fleet.close()
        if "KEEP_LOGS" in os.environ:
            copytree(directory, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        rmtree(directory, ignore_errors=True)
    record.note("case", {0: "the rule held", 1: "the rule was broken", 2: "could not run"}[status])
    return status
