#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They need Python 3.11 and nothing else.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q review/standins2
for number in 6 7 8 9 10; do
    [ ! -d "review/$number" ] || python3 -m compileall -q "review/$number"
done
