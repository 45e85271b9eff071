"""Upstreams of the soak, which record what they run."""

from __future__ import annotations

import dataclasses
import time

from tests.soak import records
from tests.standins import scripted_upstream
from tests.standins import signal_log
from tests.standins.scripted_upstream import ScriptedAnswer

SLOW_PREFIX = b"/slow-"


class Upstream(scripted_upstream.ScriptedUpstream):
    """Answers with the attempt's id; rejects a share of the requests.

    Requests that expect another upstream get status 421. ``failure_share`` is
    the share of answers that are cut off and reset after the request has run;
    half of it is the share of rejected requests. Each run is added to ``runs``,
    which holds a list for each attempt. ``signals`` records what its answers
    say of it and the requests that it gets.
    """

    def __init__(self, upstream_id, rng, slow_rng, runs):
        super().__init__(upstream_id)
        self.rng = rng
        self.slow_rng = slow_rng
        self.runs = runs
        self.failure_share = 0.0
        self.signals = signal_log.SignalLog()

    def _answer(self, http, writer, answer, request):
        headers = (*answer.headers, *self.signals.headers)
        answer = dataclasses.replace(answer, headers=headers)
        super()._answer(http, writer, answer, request)

    async def _send_scripted(self, http, reader, writer, answer, request):
        attempt = dict(request.headers)[b"x-attempt-id"].decode()
        expected = dict(request.headers)[b"x-expected-instance"].decode()
        self.signals.record_arrival(attempt)
        retry_after = self.signals.ask_to_pause(attempt)
        run, breaks_off = None, False
        if expected != self.upstream_id:
            answer = scripted_upstream.rejection(421)
        elif retry_after is not None:
            answer = scripted_upstream.rejection(
                headers=(("retry-after", retry_after),)
            )
        elif self.rng.random() < self.failure_share / 2:
            answer = scripted_upstream.rejection()
        else:
            run = records.Run(self.upstream_id, time.monotonic())
            self.runs[attempt].append(run)
            body = f"answer to {attempt}".encode()
            work_s = self._draw_work_s(request)
            breaks_off = self.rng.random() < self.failure_share
            answer = ScriptedAnswer(body=body, delay_s=work_s)
            if breaks_off:
                raw = b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf"
                answer = ScriptedAnswer(raw=raw, reset=True, delay_s=work_s)
        kept = await super()._send_scripted(
            http, reader, writer, answer, request
        )
        if run is not None:
            run.ended = time.monotonic()
            if kept:
                run.state = "answered"
            elif breaks_off and run.ended - run.started >= work_s:
                run.state = "broken off"
            else:
                run.state = "abandoned"
        return kept

    def _draw_work_s(self, request):
        if request.target.startswith(SLOW_PREFIX):
            return self.slow_rng.uniform(0.5, 4.0)
        work_s = self.rng.uniform(0.005, 0.06)
        if self.rng.random() < 0.02:
            work_s = self.rng.uniform(0.5, 2.0)
        return work_s
