"""Runs the command line with ``python -m coltsfoottrack``."""

from coltsfoottrack._internal.cli.main import main

if __name__ == "__main__":
    main()
