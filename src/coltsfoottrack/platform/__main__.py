"""``python -m coltsfoottrack.platform``: runs a node of the mesh on the users' platform.

With ``check FILE``, checks a configuration instead.
"""

import sys
from signal import SIG_IGN, SIGHUP, signal


def main() -> int:
    """Runs a node until SIGTERM, or the check of a configuration; returns the exit status."""
    if sys.argv[1:2] == ["check"]:
        from coltsfoottrack.platform.check import run_check

        return run_check(sys.argv[2:])
    # Until the node handles SIGHUP, the signal would end the process. Importing the node takes a
    # few tenths of a second, and the settings are read after that.
    signal(SIGHUP, SIG_IGN)
    from coltsfoottrack.platform.run_node import run_node

    return run_node()


if __name__ == "__main__":
    sys.exit(main())
