"""Shifts the wall clock of a process by some seconds.

Python imports this module before those of the program if its folder is on the
path, so the program under test starts in its usual way.
"""

from __future__ import annotations

import os
import time

SHIFT_VARIABLE = "SOAK_CLOCK_SHIFT_S"


def shift(seconds):
    now, now_ns = time.time, time.time_ns
    time.time = lambda: now() + seconds
    time.time_ns = lambda: now_ns() + int(seconds * 1e9)


shift(float(os.environ.get(SHIFT_VARIABLE, "0")))
