"""Starts one entry: ``python -m sesamevale.platform``."""

from __future__ import annotations

import signal

# Changed settings are read at the start anyway; without this, the signal that
# announces them would end a process that is still importing its modules.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from sesamevale.platform import daemon  # noqa: E402

daemon.main()
