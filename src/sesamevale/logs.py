"""Configures absl logging: text or JSON lines on standard error."""

from __future__ import annotations

import datetime
import json
import logging as standard_logging

from absl import flags
from absl import logging

__all__ = ["configure"]

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class _JsonFormatter(standard_logging.Formatter):
    """Formats each record as one line with a JSON object."""

    def __init__(self, entry_id: str) -> None:
        super().__init__()
        self._entry_id = entry_id

    def format(self, record: standard_logging.LogRecord) -> str:
        moment = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        content = {
            "time": moment.isoformat(timespec="milliseconds"),
            "level": record.levelname.lower(),
            "entry": self._entry_id,
            "module": record.module,
            "message": record.getMessage(),
        }
        if record.exc_info:
            content["exception"] = self.formatException(record.exc_info)
        return json.dumps(content)


class _TextFormatter(standard_logging.Formatter):
    """Formats each record as one line of text."""

    def __init__(self, entry_id: str) -> None:
        super().__init__(
            f"%(asctime)s %(levelname)s {entry_id} %(module)s: %(message)s"
        )


def configure(entry_id: str, level: str, log_format: str) -> None:
    """Sets up logging for this process.

    Args:
        entry_id: Identifier of this entry, part of each line.
        level: Lowest level that is logged, a key of ``LEVELS``.
        log_format: Format of the lines, ``text`` or ``json``.
    """
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(LEVELS[level])
    formatter: standard_logging.Formatter = _TextFormatter(entry_id)
    if log_format == "json":
        formatter = _JsonFormatter(entry_id)
    logging.get_absl_handler().setFormatter(formatter)
    logging.set_stderrthreshold(LEVELS[level])
