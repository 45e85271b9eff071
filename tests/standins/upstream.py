"""Stand-in for upstreams: slots, heavy-tailed work, faults on demand.

One process serves many upstreams, one port each. On each port ``/_control``
sets attributes of the upstream, ``/_stats`` reports its counters and
``/_runs`` how often each action has run.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import contextlib
import json
import math
import random
import signal
import time
from urllib import parse

from tests.standins import http_server

PROPAGATED_HEADERS = (
    "sesamevale-deadline-ms",
    "sesamevale-retries",
    "traceparent",
)


class UpstreamStandin:
    """One upstream with a number of slots and a queue for them.

    Attributes:
      mean_ms: Mean of the work's log-normal duration.
      sigma: Standard deviation of the duration's logarithm.
      slow: Factor of the duration.
      mode: ``serve``, ``drain`` (serves and announces the drain), ``fail``
        (500 before the work), ``broken`` (500 after it), ``shed`` (503, not
        run) or ``cut`` (ends the connection within the answer). Probes fail
        in all modes but ``serve`` and ``drain``.
      cut_share: Share of answers that are cut in any mode.
      shed_over: Whether calls beyond the slots are shed, not queued.
      copy_left: Whether answers pass on the retries left of nested calls.
      over_slots: Number of calls that arrived with all slots in use.
      calls: Number of calls, without those in modes ``fail`` and ``shed``.
      last_new_work: Unix time of the last of these calls.
    """

    def __init__(self, name: str, slots: int, mean_ms: float, seed: int):
        self.name = name
        self.slots = slots
        self.mean_ms = mean_ms
        self.sigma = 1.0
        self.slow = 1.0
        self.mode = "serve"
        self.cut_share = 0.0
        self.shed_over = True
        self.copy_left = True
        self.rng = random.Random(seed)
        self.slot_semaphore = asyncio.Semaphore(slots)
        self.in_flight = 0
        self.waiting = 0
        self.max_in_flight = 0
        self.over_slots = 0
        self.shed = 0
        self.runs: collections.Counter[str] = collections.Counter()
        self.calls = 0
        self.probes = 0
        self.last_new_work = 0.0

    async def handle(self, request: http_server.Request):
        path = request.path.partition("?")[0]
        if path == "/_control":
            return self._control(request)
        if path == "/_stats":
            return http_server.json_reply(self._stats())
        if path == "/_runs":
            return http_server.json_reply(self.runs)
        if path == "/healthz":
            self.probes += 1
            status = 200 if self.mode in ("serve", "drain") else 500
            return self._with_drain_header(http_server.Reply(status, b"ok"))
        return await self._call(request)

    def _control(self, request: http_server.Request):
        for key, value in request.json().items():
            setattr(self, key, value)
        return http_server.json_reply({})

    def _stats(self) -> dict:
        return {
            "name": self.name,
            "calls": self.calls,
            "in_flight": self.in_flight,
            "max_in_flight": self.max_in_flight,
            "over_slots": self.over_slots,
            "shed": self.shed,
            "probes": self.probes,
            "last_new_work": self.last_new_work,
        }

    async def _call(self, request: http_server.Request):
        if self.mode == "fail":
            return http_server.Reply(500, b"failed")
        if self.mode == "shed":
            return self._shed()
        self.calls += 1
        self.last_new_work = time.time()
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        try:
            if self.in_flight > self.slots:
                self.over_slots += 1
                if self.shed_over:
                    return self._shed()
            async with self.slot_semaphore:
                return await self._work(request)
        finally:
            self.in_flight -= 1

    def _shed(self):
        self.shed += 1
        reply = http_server.Reply(503, b"shed", {"x-shed": "not-run"})
        return self._with_drain_header(reply)

    def _with_drain_header(self, reply: http_server.Reply) -> http_server.Reply:
        if self.mode == "drain":
            reply.headers["x-draining"] = "1"
        return reply

    async def _work(self, request: http_server.Request):
        action = request.headers.get("x-action")
        if action:
            self.runs[action] += 1
        run = self.runs[action] if action else 0
        await asyncio.sleep(self._work_s(request))
        if self.mode == "broken":
            return http_server.Reply(500, b"broken")
        if self.mode == "cut" or self.rng.random() < self.cut_share:
            return http_server.Reply(200, b"x" * 100, cut_after=10)
        nested = await self._nested(request)
        if nested is not None:
            return nested
        content = {
            "upstream": self.name,
            "request": request.headers.get("x-request", ""),
            "action": action,
            "run": run,
            "bytes": len(request.body),
        }
        body = json.dumps(content).encode()
        query = parse.parse_qs(parse.urlsplit(request.path).query)
        if "size" in query:
            return http_server.Reply(200, stream=_stream(int(query["size"][0])))
        headers = {"content-type": "application/json"}
        return self._with_drain_header(http_server.Reply(200, body, headers))

    def _work_s(self, request: http_server.Request) -> float:
        given = request.headers.get("x-work-ms")
        if given is not None:
            return float(given) * self.slow / 1000
        mu = math.log(self.mean_ms) - self.sigma**2 / 2
        return self.rng.lognormvariate(mu, self.sigma) * self.slow / 1000

    async def _nested(self, request: http_server.Request):
        """Calls the next layer through an entry, as an application does.

        Returns None if the request asks for no further layer.
        """
        depth = int(request.headers.get("x-depth", "0"))
        if depth <= 0:
            return None
        entry = request.headers["x-entry"]
        host, _, port = entry.rpartition(":")
        headers = {
            "host": entry,
            "x-entry": entry,
            "x-depth": str(depth - 1),
            "x-work-ms": request.headers.get("x-work-ms", "1"),
        }
        for name in PROPAGATED_HEADERS:
            if name in request.headers:
                headers[name] = request.headers[name]
        path = f"/layer{depth - 1}/x"
        status, answer_headers, body = await _get(
            host, int(port), path, headers
        )
        reply = http_server.Reply(status, body)
        left = answer_headers.get("sesamevale-retries-left")
        if left is not None and self.copy_left:
            reply.headers["sesamevale-retries-left"] = left
        return reply


async def _get(host: str, port: int, path: str, headers: dict[str, str]):
    from tests.standins import http_client

    async with http_client.Client(host, port) as client:
        answer = await client.call("GET", path, headers)
        if answer is None:
            return 502, {}, b""
        return answer.status, answer.headers, answer.body


async def _stream(size: int):
    block = b"0123456789abcdef" * 1024
    while size > 0:
        yield block[:size]
        size -= len(block)


async def run(
    host: str, ports: list[int], slots: int, mean_ms: float, seed: int
) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    async with contextlib.AsyncExitStack() as stack:
        for port in ports:
            standin = UpstreamStandin(f"u{port}", slots, mean_ms, seed + port)
            await stack.enter_async_context(
                http_server.serving(host, port, standin.handle)
            )
        await stop.wait()


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--ports", required=True)
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--mean-ms", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    ports = [int(port) for port in arguments.ports.split(",")]
    asyncio.run(
        run(
            arguments.host,
            ports,
            arguments.slots,
            arguments.mean_ms,
            arguments.seed,
        )
    )


if __name__ == "__main__":
    main()
