"""Starts a mesh node from a checkout of the repository; the package need not be installed."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from coltsfoottrack.platform.__main__ import main

sys.exit(main())
