"""Runs the unit tests and passes over the cases that KNOWN-RED.txt lists.

Each entry of KNOWN-RED.txt begins with a line ``test: NODE-ID``. A listed
test is run by itself after the others and its result is printed; it does not
change the verdict. Every other failure does.
"""

from __future__ import annotations

import argparse
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[1]
LIST = ROOT / "KNOWN-RED.txt"
PREFIX = "test:"


def known_red() -> list[str]:
    if not LIST.exists():
        return []
    lines = LIST.read_text(encoding="utf-8").splitlines()
    return [
        line.removeprefix(PREFIX).strip()
        for line in lines
        if line.startswith(PREFIX)
    ]


def run(arguments: list[str]) -> int:
    command = [sys.executable, "-m", "pytest", *arguments]
    return subprocess.run(command, cwd=ROOT, check=False).returncode


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", default="0")
    seed = parser.parse_args().seed
    red = [each for each in known_red() if "::" in each]
    common = [f"--hypothesis-seed={seed}"]
    deselected = [f"--deselect={each}" for each in red]
    for each in red:
        print(f"known red: {each}", flush=True)
        run([*common, each])
    return run([*common, *deselected])


if __name__ == "__main__":
    sys.exit(main())
