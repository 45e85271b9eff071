"""What an entry says of an action that it cannot ask the issuer about."""

from __future__ import annotations

import asyncio

import pytest

from sesamevale import documents
from sesamevale import metrics
from sesamevale.callers import caller_server
from sesamevale.dispatching import router
from tests.builders import policy_values
from tests.builders import raw_http

TICKET = f"e9~3~99~{'a' * 16}~pay"
PLAIN = "my-own-key"


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


async def refusal(in_force, identity):
    view = router.ClusterView(policy_values.member("e1"), in_force, {}, (), {})
    taken = router.CallRouter(view, None, None)
    listening = caller_server.CallerServer(
        "127.0.0.1", 0, taken, None, metrics.MetricsRecorder(), LIMITS
    )
    async with listening:
        request = raw_http._head("/till/x", identity, "content-length: 0")
        return (await raw_http.send(listening.port, request)).lower()


@pytest.mark.parametrize("in_force", [None, WITHOUT_SERVICES])
def test_an_action_of_another_entry_is_not_said_not_to_run(in_force):
    answer = asyncio.run(refusal(in_force, TICKET))
    assert b"sesamevale-outcome: unknown" in answer
    assert answer.startswith(b"http/1.1 502")


@pytest.mark.parametrize("in_force", [None, WITHOUT_SERVICES])
def test_a_call_without_an_identity_of_ours_is_not_run(in_force):
    answer = asyncio.run(refusal(in_force, PLAIN))
    assert b"sesamevale-outcome: not-run" in answer
