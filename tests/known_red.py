"""Runs the unit tests; failures that KNOWN-RED.txt lists don't count.

Each entry of KNOWN-RED.txt begins with a line ``test: NODE-ID``. Each listed
test is first run by itself, and its result is printed but ignored. Then all
other tests are run, and their result is the exit status.
"""

from __future__ import annotations

import argparse
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[1]
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
TEST_PREFIX = "test:"


def listed_tests() -> list[str]:
    if not KNOWN_RED_FILE.exists():
        return []
    lines = KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    return [
        line.removeprefix(TEST_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    ]


def run(arguments: list[str]) -> int:
    command = [sys.executable, "-m", "pytest", *arguments]
    return subprocess.run(command, cwd=ROOT, check=False).returncode


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", default="0")
    seed = parser.parse_args().seed
    red = [each for each in listed_tests() if "::" in each]
    common = [f"--hypothesis-seed={seed}"]
    deselected = [f"--deselect={each}" for each in red]
    for each in red:
        print(f"known red: {each}", flush=True)
        run([*common, each])
    return run([*common, *deselected])


if __name__ == "__main__":
    sys.exit(main())
