#!/bin/sh
# Puts the libraries and the package under target/deps, where the platform's
# Python finds them. Nothing is compiled.
set -eu
# pip keeps what lies in its target folder, of whatever processor.
rm -rf target/new
python3 -m pip install --quiet --require-hashes --only-binary :all: \
    --requirement requirements/gateway.txt --target target/new
cp -R src/laburnumyard target/new/
python3 -m compileall -q target/new
rm -rf target/deps
mv target/new target/deps
