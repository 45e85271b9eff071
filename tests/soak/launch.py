"""Start of the soak's child processes."""

from __future__ import annotations

import ctypes
import signal

PR_SET_PDEATHSIG = 1


def end_with_parent():
    """Makes the kernel kill the calling process when its parent ends."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
