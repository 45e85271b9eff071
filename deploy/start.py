"""Starts the daemon on the users' platform from what ``deploy/build`` made."""

from __future__ import annotations

import pathlib
import runpy
import sys

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path[0] = str(ROOT / "target" / "app")
runpy.run_module("sesamevale.platform", run_name="__main__")
