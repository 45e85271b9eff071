"""Upstream whose process ends when it runs a deadly request."""

from __future__ import annotations

import asyncio

from tests.standins import scripted_upstream

DEADLY = b"deadly"
WORK_S = 0.02


class CrashingUpstream(scripted_upstream.ScriptedUpstream):
    """Ends all its connections and its listener under a deadly request.

    A request is deadly if its target names it so. Others take as long.

    Attributes:
      has_crashed: Whether it has ended.
      received: Targets of the requests that reached it.
    """

    def __init__(self, upstream_id="u-1", load="0,0,4,100"):
        super().__init__(upstream_id, load=load)
        self.has_crashed = False
        self.received: list[bytes] = []

    @property
    def port(self) -> int:
        return self._port

    async def __aenter__(self):
        await super().__aenter__()
        self._port = super().port
        return self

    async def _send_scripted(self, http, reader, writer, answer, request):
        self.received.append(request.target)
        await asyncio.sleep(WORK_S)
        if DEADLY in request.target:
            self._crash()
        return await super()._send_scripted(
            http, reader, writer, answer, request
        )

    def _crash(self):
        self.has_crashed = True
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        raise ConnectionError("the process has ended")
