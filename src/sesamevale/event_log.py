"""Event log on standard output: JSON lines, rate-limited, never blocking."""

from __future__ import annotations

import datetime
import json
import logging as standard_logging
import os
import time

from absl import flags
from absl import logging

__all__ = ["EventLog", "configure"]

# Rate limit of one process for lines about requests: sustained and burst.
LINES_PER_S = 150.0
BURST_LINES = 600.0
STANDARD_OUTPUT = 1


class EventLog:
    """Writes each event as one line with a JSON object.

    Lines about requests are dropped beyond a rate limit; lines about the
    process and its dependencies are not limited. A line is also dropped if
    writing it would block or fails. Dropped lines are counted.

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
    def entry_id(self) -> str:
        """Identifier of this entry."""
        return self._entry_id

    @property
    def dropped(self) -> int:
        """Number of lines that were dropped."""
        return self._dropped

    def decision(self, name: str, **fields: object) -> None:
        """Writes a line about a request, unless the rate limit is reached."""
        now = time.monotonic()
        refill = (now - self._refilled_at) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1.0:
            self._count_dropped()
            return
        self._tokens -= 1.0
        self._write(name, fields)

    def state(self, name: str, **fields: object) -> None:
        """Writes a line about this process or its dependencies."""
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
    """Writes the records of Python's logging to the event log."""

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
        entry_id: Identifier of this entry, part of each line.

    Returns:
        The event log, for lines about requests and the process.
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
