#!/usr/bin/env bash
# Builds the stand-ins of the scripts: Python's standard library is all they
# need, so their sources are only compiled.
set -eu
cd "$(dirname "$0")"
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX="$cache" python3 -m py_compile common/stand.py ./[1-5]/case.py
