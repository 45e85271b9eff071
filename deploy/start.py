"""Starts the daemon that ``deploy/build`` built for the users' platform."""

from __future__ import annotations

import pathlib
import runpy
import sys

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path[0] = str(ROOT / "target" / "app")
runpy.run_module("sesamevale.platform", run_name="__main__")
