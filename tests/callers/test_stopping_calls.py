"""Calls that arrive together at an entry that drains.

The first answer closed the connection, and the calls that had been read behind
it were dropped.
"""

from __future__ import annotations

import asyncio

from sesamevale import documents
from sesamevale import metrics
from sesamevale.callers import caller_server
from sesamevale.dispatching import router
from tests.builders import policy_values
from tests.builders import raw_http

LIMITS = documents.Limits(
    header_bytes=8192,
    body_bytes=8192,
    connections=10,
    connections_per_address=10,
    idle_ms=5000,
    header_read_ms=5000,
)
CALL = b"GET /till/x HTTP/1.1\r\nhost: x\r\n\r\n"


async def answers_while_draining(data):
    view = router.ClusterView(
        policy_values.member("e1"), None, {}, (), {}, draining=True
    )
    call_router = router.CallRouter(view, None, None)
    server = caller_server.CallerServer(
        "127.0.0.1", 0, call_router, None, metrics.MetricsRecorder(), LIMITS
    )
    async with server:
        return (await raw_http.send(server.port, data)).lower()


# Guards against calls that were read behind another and dropped by a drain.
def test_an_entry_that_drains_answers_what_it_has_read():
    answers = asyncio.run(answers_while_draining(3 * CALL))
    assert answers.count(b"http/1.1 503") == 3
    assert answers.count(b"connection: close") == 1
    last = answers.rpartition(b"http/1.1")[2]
    assert b"connection: close" in last
