"""Starts a node with a shifted wall clock: ``shifted_node.py OFFSET_FILE``.

The file holds the shift in seconds. It may change while the node runs, as if its clock were set.
"""

import sys
import time
from pathlib import Path
from runpy import run_path

PROGRAM = Path(__file__).resolve().parents[2] / "deploy" / "coltsfoottrack-node.py"


def shift_clock(path: Path) -> None:
    """Shifts the wall clock by the seconds in a file."""
    true_time = time.time

    def shifted_time() -> float:
        return true_time() + float(path.read_text(encoding="ascii"))

    # Must happen before any module of the product imports the function.
    time.time = shifted_time


if __name__ == "__main__":
    shift_clock(Path(sys.argv.pop(1)))
    run_path(str(PROGRAM), run_name="__main__")
