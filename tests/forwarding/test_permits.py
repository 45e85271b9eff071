"""Permits of tenants' requests, from the caller to the upstream."""

from __future__ import annotations

import asyncio
import time

import pytest

from sesamevale.forwarding import permits
from sesamevale.forwarding import router
from sesamevale.policy.admission import quota_types as types
from tests.builders import gateway
from tests.builders import raw_http
from tests.standins import gateway_entry
from tests.standins import scripted_upstream
from tests.standins.scripted_upstream import ScriptedAnswer

TENANT = gateway.tenant(rate_per_s=10.0, burst=10.0)
REJECTED = ScriptedAnswer(
    status=503, signed=False, headers=(("X-Not-Executed", "1"),)
)


class ScriptedPermits:
    """Gives out verdicts from a list, then permits; admits all requests."""

    def __init__(self, *verdicts, permit_s=0.25, admission=None):
        self._verdicts = list(verdicts)
        self._permit_s = permit_s
        self._admission = admission or types.Admitted()
        self.asked: list[permits.AskPermit] = []
        self.admitted = 0
        self.returned = 0

    def send(self, message):
        if isinstance(message, permits.ReturnPermit):
            self.returned += 1
        elif isinstance(message, permits.Dismiss):
            self.admitted -= 1
        elif isinstance(message, permits.AskAdmission):
            self.admitted += isinstance(self._admission, types.Admitted)
            message.reply(self._admission)
        else:
            self._decide(message)

    def _decide(self, message):
        self.asked.append(message)
        verdict = types.Granted(time.monotonic() + self._permit_s)
        if self._verdicts:
            verdict = self._verdicts.pop(0)
        message.reply(verdict)


def ask(given, answers=(), path="/read/1", upstreams=1, load="0,0,4,100"):
    """Sends one request; returns its answer's head and the upstreams."""

    async def scenario():
        found = [
            scripted_upstream.ScriptedUpstream(f"u-{number}", answers, load)
            for number in range(upstreams)
        ]
        async with gateway_entry.GatewayEntry(
            *found, ask_permit=given.send
        ) as entry:
            configuration = gateway.configuration(
                all_routes=gateway_entry.ROUTES, tenants=[TENANT]
            )
            entry.router.set_view(
                router.RoutingView(configuration, time.monotonic(), True)
            )
            answer = await raw_http.send(
                entry.port,
                (
                    f"GET {path} HTTP/1.1\r\nHost: a.example\r\n"
                    "X-Attempt-Id: a-1\r\nX-Deadline-Ms: 900\r\n"
                    "Authorization: Bearer key-1\r\n"
                    "Connection: close\r\n\r\n"
                ).encode(),
            )
        head = answer.partition(b"\r\n\r\n")[0].decode().lower()
        return int(head.split(" ")[1]), head, found

    return asyncio.run(asyncio.wait_for(scenario(), 20.0))


def test_a_request_over_the_quota_is_refused_at_once():
    """It would be sent on, or wait for an upstream first."""
    given = ScriptedPermits(admission=types.OverQuota(0.75))
    status, head, upstreams = ask(given)
    assert status == 429
    assert "retry-after: 0.75" in head
    assert not upstreams[0].requests
    assert not upstreams[0].health_requests


def test_a_request_whose_quota_nobody_knows_may_be_tried_elsewhere():
    given = ScriptedPermits(admission=types.Unreachable())
    status, head, upstreams = ask(given)
    assert status == 503
    assert "retry-after" in head
    assert not upstreams[0].requests


def test_each_attempt_needs_a_permit():
    """Repeats count against the quota, too."""
    given = ScriptedPermits()
    failing = [ScriptedAnswer(status=500)]
    status, _, upstreams = ask(given, failing, upstreams=2)
    assert status == 500
    sent = sum(len(each.requests) for each in upstreams)
    assert sent == len(given.asked) >= 2


def test_a_repeat_over_the_quota_is_not_sent():
    given = ScriptedPermits(
        types.Granted(time.monotonic() + 60.0), types.OverQuota(0.5)
    )
    failing = [ScriptedAnswer(status=500)]
    status, _, upstreams = ask(given, failing, upstreams=2)
    assert status == 500
    assert sum(len(each.requests) for each in upstreams) == 1


@pytest.mark.parametrize("path", ["/read/1", "/charge/1"])
def test_an_attempt_that_no_upstream_ran_uses_up_no_permit(path):
    """Upstreams that reject requests would use up the quotas of tenants."""
    given = ScriptedPermits(permit_s=60.0)
    status, _, upstreams = ask(given, [REJECTED], path, upstreams=2)
    assert sum(len(each.requests) for each in upstreams) >= 2
    assert len(given.asked) == 1
    assert status in (200, 503)


def test_a_request_whose_permit_has_expired_needs_another():
    """Requests that waited would be sent beside those admitted meanwhile."""
    given = ScriptedPermits(types.Granted(time.monotonic() - 1.0))
    status, _, upstreams = ask(given)
    assert status == 200
    assert len(upstreams[0].requests) == 1
    assert len(given.asked) == 2


@pytest.mark.parametrize("is_admitted", [True, False])
def test_a_withdrawn_key_ends_a_request_that_waits(is_admitted):
    """A request that waits would be sent with a key that nobody holds."""
    given = ScriptedPermits(
        types.KeyWithdrawn(),
        admission=types.Admitted() if is_admitted else types.KeyWithdrawn(),
    )
    status, _, upstreams = ask(given)
    assert status == 401
    assert not upstreams[0].requests


def test_a_request_that_waited_is_refused_if_its_quota_is_used_up():
    given = ScriptedPermits(types.OverQuota(0.5))
    status, head, upstreams = ask(given)
    assert status == 429
    assert "retry-after: 0.5" in head
    assert not upstreams[0].requests


@pytest.mark.parametrize("upstreams", [0, 1])
def test_an_admitted_request_that_is_sent_or_ends_no_longer_waits(upstreams):
    """Ended requests would count among the waiting ones for ever."""
    given = ScriptedPermits()
    status, _, _ = ask(given, upstreams=upstreams)
    assert status == (200 if upstreams else 503)
    assert given.admitted == 0


def test_permits_of_requests_that_are_not_sent_are_returned():
    """Requests that end after a rejection would use up the quota."""
    given = ScriptedPermits(permit_s=60.0)
    status, _, _ = ask(given, [REJECTED] * 3, upstreams=1)
    assert status == 503
    assert given.returned == len(given.asked) == 1


def test_a_request_without_a_tenant_needs_no_permit():
    given = ScriptedPermits()

    async def scenario():
        upstream = scripted_upstream.ScriptedUpstream()
        async with gateway_entry.GatewayEntry(
            upstream, ask_permit=given.send
        ) as entry:
            result = await gateway_entry.call(entry.port, "/read/1", 1.0)
            assert result.status == 200

    asyncio.run(scenario())
    assert not given.asked
