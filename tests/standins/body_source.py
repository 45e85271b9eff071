"""Stand-in for the reader of a connection on which a chunked body arrives."""

from __future__ import annotations

import contextlib

import h11


class BodySource:
    """Has all chunks of a body at hand.

    Attributes:
      taken: Number of chunks that were read.
      restarts: Number of times that the time-out was started anew.
    """

    def __init__(self, chunks, declared=None):
        self.declared_length = declared
        self.taken = 0
        self.restarts = 0
        self._chunks = chunks

    @contextlib.contextmanager
    def reading_body(self):
        yield

    def restart_body_timeout(self):
        self.restarts += 1

    def received_body_event(self):
        if self.taken == len(self._chunks):
            return h11.EndOfMessage()
        self.taken += 1
        return h11.Data(data=self._chunks[self.taken - 1])
