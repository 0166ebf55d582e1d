"""Starts a node whose time of day is shifted: ``shifted_node.py OFFSET_FILE``.

The file holds the shift in seconds and may change while the node runs, as when a clock is set.
"""

import sys
import time
from pathlib import Path
from runpy import run_path

PROGRAM = Path(__file__).resolve().parents[2] / "deploy" / "coltsfoottrack-node.py"


def shift_clock(path: Path) -> None:
    """Lets the time of day follow the shift in a file."""
    true_time = time.time

    def shifted_time() -> float:
        return true_time() + float(path.read_text(encoding="ascii"))

    # Before any module of the product takes the function over.
    time.time = shifted_time


if __name__ == "__main__":
    shift_clock(Path(sys.argv.pop(1)))
    run_path(str(PROGRAM), run_name="__main__")
