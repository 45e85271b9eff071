"""Structured log lines on standard output, bounded and never blocking."""

from __future__ import annotations

import datetime
import json
import logging as standard_logging
import os
import time

from absl import flags
from absl import logging

__all__ = ["EventLog", "configure"]

# Lines a second that one process writes for long, and at once.
LINES_PER_S = 150.0
BURST_LINES = 600.0
STANDARD_OUTPUT = 1


class EventLog:
    """Writes one JSON object a line.

    Lines about requests are dropped beyond a rate; lines about the process
    and what it depends on are always written. A line that standard output
    does not take at once is dropped too. Dropped lines are counted.

    Args:
        entry_id: Identifier of this entry, part of each line.
        descriptor: File descriptor that lines are written to.
    """

    def __init__(
        self, entry_id: str, descriptor: int = STANDARD_OUTPUT
    ) -> None:
        self._entry_id = entry_id
        self._descriptor = descriptor
        self._tokens = BURST_LINES
        self._refilled_at = time.monotonic()
        self._dropped = 0
        self._unreported = 0

    @property
    def dropped(self) -> int:
        """Lines that were not written."""
        return self._dropped

    def decision(self, name: str, **fields: object) -> None:
        """Writes a line about a request, if the rate allows it."""
        now = time.monotonic()
        gained = (now - self._refilled_at) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + gained)
        self._refilled_at = now
        if self._tokens < 1.0:
            self._count_dropped()
            return
        self._tokens -= 1.0
        self._write(name, fields)

    def state(self, name: str, **fields: object) -> None:
        """Writes a line about this process or what it depends on."""
        self._write(name, fields)

    def _count_dropped(self) -> None:
        self._dropped += 1
        self._unreported += 1

    def _write(self, name: str, fields: dict[str, object]) -> None:
        moment = datetime.datetime.now(datetime.UTC)
        content: dict[str, object] = {
            "time": moment.isoformat(timespec="milliseconds"),
            "entry": self._entry_id,
            "event": name,
            **fields,
        }
        if self._unreported:
            content["dropped_before"] = self._unreported
        line = json.dumps(content, default=str) + "\n"
        try:
            os.write(self._descriptor, line.encode())
        except OSError:
            self._count_dropped()
            return
        self._unreported = 0


class _EventLogHandler(standard_logging.Handler):
    """Passes the records of libraries and of other modules on."""

    def __init__(self, events: EventLog) -> None:
        super().__init__()
        self._events = events

    def emit(self, record: standard_logging.LogRecord) -> None:
        fields: dict[str, object] = {
            "level": record.levelname.lower(),
            "module": record.module,
            "message": record.getMessage(),
        }
        if record.exc_info:
            formatter = standard_logging.Formatter()
            fields["exception"] = formatter.formatException(record.exc_info)
        self._events.state("log", **fields)


def configure(entry_id: str) -> EventLog:
    """Sends all logs of this process to standard output as JSON lines.

    Args:
        entry_id: Identifier of this entry.
    """
    events = EventLog(entry_id)
    os.set_blocking(STANDARD_OUTPUT, False)
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(logging.INFO)
    root = standard_logging.getLogger()
    for handler in list(root.handlers):
        root.removeHandler(handler)
    logging.use_absl_handler()
    absl_logger = logging.get_absl_logger()
    for handler in list(absl_logger.handlers):
        absl_logger.removeHandler(handler)
    root.removeHandler(logging.get_absl_handler())
    root.addHandler(_EventLogHandler(events))
    return events
