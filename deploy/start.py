"""Starts the daemon on the users' platform from what ``deploy/build`` made."""

from __future__ import annotations

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path[0] = str(ROOT / "target" / "app")

from sesamevale.platform import daemon  # noqa: E402

daemon.main()
