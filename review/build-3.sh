#!/bin/sh
# Builds the stand-ins of the third review (standard library only). The nodes themselves are built
# by the build line of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || exit 2
python3 -m compileall -q review/standins3
