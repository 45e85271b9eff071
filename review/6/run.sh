#!/bin/sh
# Runs the case from the root of the repository; TROUBLE=0 leaves the removal out.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/app ] && [ -d target/deps ] || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD"
python3 -c "import tests.builders.store_items, tests.standins.platform_store" \
  || exit 2
exec python3 review/6/case.py
