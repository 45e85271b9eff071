"""Keys and tenants of requests, from the caller's socket to the upstream's."""

from __future__ import annotations

import asyncio
import contextlib
import time

import pytest

from sesamevale import event_log
from sesamevale.forwarding import messages
from sesamevale.forwarding import router
from tests.builders import gateway
from tests.builders import raw_http
from tests.standins import gateway_entry
from tests.standins import scripted_upstream

CLOSED = gateway.route(priority=3)
OPEN = gateway.route(name="open", prefix="/open/", needs_key=False)
ACME = gateway.tenant("acme", ("key-a",), priority=0)
BOLT = gateway.tenant("bolt", ("key-b",))


def view(tenants=(ACME, BOLT), version=1, confirmed_at=None):
    configuration = gateway.configuration(
        version, [CLOSED, OPEN], tenants=tenants
    )
    confirmed_at = time.monotonic() if confirmed_at is None else confirmed_at
    return router.RoutingView(configuration, confirmed_at, True)


@contextlib.asynccontextmanager
async def open_entry(routing_view):
    upstream = scripted_upstream.ScriptedUpstream()
    async with gateway_entry.GatewayEntry(upstream) as entry:
        entry.router.set_view(routing_view)
        yield entry, upstream


def request(path, *fields, connection="close"):
    lines = [
        f"GET {path} HTTP/1.1",
        "Host: a.example",
        "X-Attempt-Id: attempt-1",
        "X-Deadline-Ms: 1000",
        f"Connection: {connection}",
        *fields,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def ask(entry, path, *fields):
    """Sends a request; returns the status and the head of its answer."""
    answer = await raw_http.send(entry.port, request(path, *fields))
    head = answer.partition(b"\r\n\r\n")[0].lower()
    return int(head.split(b" ")[1]), head


def run(scenario, routing_view=None):
    async def whole():
        found = view() if routing_view is None else routing_view
        async with open_entry(found) as (entry, upstream):
            await scenario(entry, upstream)

    asyncio.run(asyncio.wait_for(whole(), 20.0))


def test_the_upstream_learns_the_tenant_and_not_the_key():
    async def scenario(entry, upstream):
        for scheme in ("Bearer", "bearer"):
            field = f"Authorization: {scheme} key-a"
            status, _ = await ask(entry, "/read/1", field)
            assert status == 200
            headers = dict(upstream.requests[-1].headers)
            assert headers.get(b"x-tenant") == b"acme"
            assert b"authorization" not in headers

    run(scenario)


def test_a_caller_cannot_name_its_tenant():
    """A caller's field would name another tenant to the upstream."""

    async def scenario(entry, upstream):
        fields = (
            "Authorization: Bearer key-b",
            "X-Tenant: acme",
            "Connection: x-tenant",
        )
        assert (await ask(entry, "/read/1", *fields))[0] == 200
        assert (await ask(entry, "/open/1", "X-Tenant: acme"))[0] == 200
        named = [
            [value for name, value in each.headers if name == b"x-tenant"]
            for each in upstream.requests
        ]
        assert named == [[b"bolt"], []]

    run(scenario)


@pytest.mark.parametrize(
    "fields",
    [
        (),
        ("Authorization: Bearer key-c",),
        ("Authorization: Bearer",),
        ("Authorization: Basic key-a",),
        ("Authorization: key-a",),
        ("Authorization: Bearer key-a", "Authorization: Bearer key-b"),
    ],
)
def test_a_request_without_a_key_of_a_tenant_is_refused(fields):
    async def scenario(entry, upstream):
        status, head = await ask(entry, "/read/1", *fields)
        assert status == 401
        assert b"www-authenticate: bearer" in head
        assert not upstream.requests

    run(scenario)


def test_an_unknown_key_passes_on_a_route_without_keys_but_not_upstream():
    async def scenario(entry, upstream):
        field = "Authorization: Bearer key-c"
        assert (await ask(entry, "/open/1", field))[0] == 200
        headers = dict(upstream.requests[0].headers)
        assert b"authorization" not in headers
        assert b"x-tenant" not in headers

    run(scenario)


def test_fields_are_forwarded_as_received_without_tenants():
    async def scenario(entry, upstream):
        fields = ("Authorization: Basic abc", "X-Tenant: acme")
        assert (await ask(entry, "/read/1", *fields))[0] == 200
        headers = dict(upstream.requests[0].headers)
        assert headers[b"authorization"] == b"Basic abc"
        assert headers.get(b"x-tenant") == b"acme"

    run(scenario, view(tenants=()))


@pytest.mark.parametrize(
    ("routing_view", "field"),
    [
        (router.RoutingView(), "Authorization: Bearer key-a"),
        (view(confirmed_at=-1000.0), "Authorization: Bearer key-c"),
    ],
    ids=["no configuration", "unconfirmed configuration"],
)
def test_a_key_that_may_be_known_elsewhere_is_not_denied(routing_view, field):
    """A 401 from an entry that starts would deny a key that is held."""

    async def scenario(entry, upstream):
        status, _ = await ask(entry, "/read/1", field)
        assert status == 503
        assert not upstream.requests

    run(scenario, routing_view)


def test_keys_expire_at_an_entry_that_is_cut_off_from_the_store():
    """A withdrawn key would work there for as long as the cut lasts."""

    async def scenario(entry, upstream):
        field = "Authorization: Bearer key-a"
        entry.router.set_view(view(confirmed_at=time.monotonic() - 30.0))
        assert (await ask(entry, "/read/1", field))[0] == 200
        entry.router.set_view(view(confirmed_at=time.monotonic() - 1000.0))
        assert (await ask(entry, "/read/1", field))[0] == 200
        entry.router._key_lifetime_s = 900.0
        assert (await ask(entry, "/read/1", field))[0] == 503
        assert (await ask(entry, "/open/1"))[0] == 200

    run(scenario)


def test_a_withdrawn_key_is_refused_on_an_open_connection():
    """A key was checked when the connection was opened only."""

    async def scenario(entry, upstream):
        field = "Authorization: Bearer key-a"
        reader, writer = await asyncio.open_connection(
            raw_http.HOST, entry.port
        )
        statuses = []
        for tenants in ((ACME, BOLT), (BOLT,)):
            entry.router.set_view(view(tenants))
            writer.write(request("/read/1", field, connection="keep-alive"))
            head = await reader.readuntil(b"\r\n\r\n")
            length = head.lower().partition(b"content-length: ")[2]
            await reader.readexactly(int(length.split(b"\r\n")[0]))
            statuses.append(int(head.split(b" ")[1]))
        writer.close()
        assert statuses == [200, 401]
        assert len(upstream.requests) == 1

    run(scenario)


@pytest.mark.parametrize(("key", "priority"), [("key-a", 0), ("key-b", 3)])
def test_the_priority_of_a_tenant_goes_before_that_of_the_route(key, priority):
    async def scenario(entry, upstream):
        submitted = []
        send = entry.task.send

        def record(message):
            if isinstance(message, messages.Submit):
                submitted.append(message.request)
            send(message)

        entry.task.send = record
        await ask(entry, "/read/1", f"Authorization: Bearer {key}")
        assert [each.priority for each in submitted] == [priority]

    run(scenario)


def test_keys_stay_out_of_the_log(monkeypatch):
    lines = []
    monkeypatch.setattr(
        event_log.EventLog,
        "_write",
        lambda self, name, fields: lines.append(str(fields)),
    )

    async def scenario(entry, upstream):
        for key in ("key-a", "key-c"):
            await ask(entry, "/read/1", f"Authorization: Bearer {key}")

    run(scenario)
    assert any("'tenant': 'acme'" in each for each in lines)
    assert not any("key-" in each for each in lines)
