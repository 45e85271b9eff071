#!/bin/sh
# Builds the stand-ins of the cases from 6 on: they are Python and use the
# libraries that deploy/build installs, so compiling them is all.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD/target/deps:$PWD" python3 -m compileall -q \
  tests/__init__.py tests/builders tests/standins review/6
