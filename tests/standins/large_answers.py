"""Stand-in for an upstream whose answers are as long as the target says."""

from __future__ import annotations

import dataclasses

from tests.standins import scripted_upstream

SIZE_MARK = b"/bytes-"


class LargeAnswerUpstream(scripted_upstream.ScriptedUpstream):
    """Answers a target that ends in ``/bytes-N`` with a body of N bytes."""

    async def _send_scripted(self, http, reader, writer, answer, request):
        _, mark, size = request.target.rpartition(SIZE_MARK)
        if mark:
            answer = dataclasses.replace(answer, body=bytes(int(size)))
        return await super()._send_scripted(
            http, reader, writer, answer, request
        )
