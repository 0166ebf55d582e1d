#!/bin/sh
# Builds the stand-ins of the cases: they are Python without dependencies, so this checks that they
# compile and that the program of the deploy file was built.
folder=$(CDPATH= cd "$(dirname "$0")" && pwd) || exit 2
[ -d "$folder/../target/deps" ] || { echo "the build line of the deploy file comes first" >&2; exit 2; }
python3 -m compileall -q "$folder/standins" "$folder"/[1-5]/play.py || exit 1
PYTHONPATH="$folder" python3 -c "import standins.case"
