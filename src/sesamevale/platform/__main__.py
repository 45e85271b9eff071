"""Starts one entry: ``python -m sesamevale.platform``."""

from __future__ import annotations

import signal

# SIGHUP announces changed settings, and its default action would end a process
# that is still importing its modules. Settings are read after that anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from sesamevale.platform import daemon  # noqa: E402

daemon.main()
