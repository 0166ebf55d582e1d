"""Starts a node of the mesh from the repository, where the package is not installed."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from coltsfoottrack.platform.__main__ import main

sys.exit(main())
