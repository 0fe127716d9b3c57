#!/bin/sh
# Builds the stand-ins of the second review: plain Python, standard library only.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q kit2
