"""What the soak's processes have in common."""

from __future__ import annotations

import ctypes
import signal

PR_SET_PDEATHSIG = 1


def end_with_parent():
    """Ends the calling process when the one that started it ends."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
