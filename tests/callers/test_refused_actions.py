"""Outcome of a refused action whose issuer the entry cannot ask.

An entry that had just started and had no document, or no rule for the call,
answered "not run" to a repeated action that its issuer had run.
"""

from __future__ import annotations

import asyncio

import pytest

from sesamevale import documents
from sesamevale import metrics
from sesamevale.callers import caller_server
from sesamevale.dispatching import router
from tests.builders import policy_values
from tests.builders import raw_http

ISSUED_IDENTITY = f"e9~3~99~{'a' * 16}~pay"
CALLER_KEY = "my-own-key"


LIMITS = documents.Limits(
    header_bytes=8192,
    body_bytes=8192,
    connections=10,
    connections_per_address=10,
    idle_ms=5000,
    header_read_ms=5000,
)
WITHOUT_SERVICES = documents.Environment(
    name="test",
    revision=1,
    services={},
    directory_lifetime_ms=1000,
    identity_window_ms=1000,
    entries_max=1,
    retry_budget=0,
    limits=LIMITS,
)


async def answer_to_call(in_force, key):
    view = router.ClusterView(policy_values.member("e1"), in_force, {}, (), {})
    call_router = router.CallRouter(view, None, None)
    server = caller_server.CallerServer(
        "127.0.0.1", 0, call_router, None, metrics.MetricsRecorder(), LIMITS
    )
    async with server:
        request = raw_http._head("/till/x", key, "content-length: 0")
        return (await raw_http.send(server.port, request)).lower()


@pytest.mark.parametrize("in_force", [None, WITHOUT_SERVICES])
def test_action_issued_by_another_entry_is_unknown(in_force):
    answer = asyncio.run(answer_to_call(in_force, ISSUED_IDENTITY))
    assert b"sesamevale-outcome: unknown" in answer
    assert answer.startswith(b"http/1.1 502")


@pytest.mark.parametrize("in_force", [None, WITHOUT_SERVICES])
def test_call_without_an_action_identity_is_not_run(in_force):
    answer = asyncio.run(answer_to_call(in_force, CALLER_KEY))
    assert b"sesamevale-outcome: not-run" in answer
