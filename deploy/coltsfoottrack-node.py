"""Starts a mesh node from a checkout of the repository; the package need not be installed."""

from signal import SIG_IGN, SIGHUP, signal

# As early as possible: until it is handled, SIGHUP ends the process.
signal(SIGHUP, SIG_IGN)

import sys  # noqa: E402
from pathlib import Path  # noqa: E402

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from coltsfoottrack.platform.__main__ import main  # noqa: E402

sys.exit(main())
