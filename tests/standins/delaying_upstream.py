"""Upstream that answers after the delay that the request target states."""

from __future__ import annotations

import dataclasses

from tests.standins import scripted_upstream


class DelayingUpstream(scripted_upstream.ScriptedUpstream):
    """Answers ``/KIND/MS`` after that many milliseconds with the request id.

    Attributes:
      received_ids: Identifiers of the requests in the order of arrival.
      unanswered_ids: Identifiers of the requests that are not answered.
      most_unanswered: Largest number of them at a time.
      unanswered_at_arrival: By identifier, those unanswered on its arrival.
    """

    def __init__(self, upstream_id="u-1"):
        super().__init__(upstream_id)
        self.received_ids: list[str] = []
        self.unanswered_ids: set[str] = set()
        self.most_unanswered = 0
        self.unanswered_at_arrival: dict[str, frozenset[str]] = {}

    async def _send_scripted(self, http, reader, writer, answer, request):
        request_id = dict(request.headers)[b"x-attempt-id"].decode()
        self.received_ids.append(request_id)
        self.unanswered_at_arrival[request_id] = frozenset(self.unanswered_ids)
        self.unanswered_ids.add(request_id)
        self.most_unanswered = max(
            self.most_unanswered, len(self.unanswered_ids)
        )
        delay_ms = int(request.target.rpartition(b"/")[2])
        answer = dataclasses.replace(
            answer, body=request_id.encode(), delay_s=delay_ms / 1000
        )
        try:
            return await super()._send_scripted(
                http, reader, writer, answer, request
            )
        finally:
            self.unanswered_ids.discard(request_id)
