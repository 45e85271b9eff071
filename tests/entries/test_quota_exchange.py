"""Exchange of room between entries, over loopback sockets."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time

import hypothesis
import pytest
from hypothesis import strategies

from sesamevale import metrics
from sesamevale.entries import quota_codec
from sesamevale.entries import quota_exchange
from sesamevale.forwarding import messages
from sesamevale.forwarding import permits
from sesamevale.policy.admission import quota_shares
from sesamevale.policy.admission import quota_types as types
from sesamevale.policy.membership import registered_peers
from tests.builders import gateway
from tests.builders import loopback
from tests.builders import quotas

HOST = "127.0.0.1"
DIGEST = gateway.tenant().key_digests[0]


class Exchanges:
    """Two entries of which one at most holds the quota of a tenant."""

    def __init__(self, **limits):
        values = {"rate_per_s": 0.1, "burst": 0.0} | limits
        self.tenant = gateway.tenant(**values)

    async def __aenter__(self):
        self.stack = contextlib.AsyncExitStack()
        names = ("e-1", "e-2")
        ports = loopback.free_ports(2)
        self.recorders = [metrics.MetricsRecorder() for _ in names]
        self.exchanges = [
            await self.stack.enter_async_context(
                quota_exchange.QuotaExchange(
                    name,
                    "here",
                    HOST,
                    port,
                    10,
                    quotas.BOUNDS,
                    random.Random(1),
                    recorder,
                )
            )
            for name, port, recorder in zip(
                names, ports, self.recorders, strict=True
            )
        ]
        peers = tuple(
            registered_peers.Peer(name, "here", HOST, 1, port - 10)
            for name, port in zip(names, ports, strict=True)
        )
        self.configure([self.tenant])
        for each in self.exchanges:
            each.send(messages.SetRegisteredEntries(peers, time.monotonic()))
        await asyncio.sleep(0)
        return self

    async def __aexit__(self, *exc_info):
        await self.stack.__aexit__(*exc_info)

    def configure(self, tenants, version=1):
        configuration = gateway.configuration(version, tenants=tenants)
        for each in self.exchanges:
            each.send(quota_exchange.SetConfiguration(configuration))

    async def ask_admission(self, index, tenant="acme", digest=DIGEST):
        verdict = asyncio.get_running_loop().create_future()
        ask = permits.AskAdmission(tenant, digest, verdict.set_result)
        self.exchanges[index].send(ask)
        return await asyncio.wait_for(verdict, 2.0)

    async def ask(self, index, tenant="acme", digest=DIGEST):
        verdict = asyncio.get_running_loop().create_future()
        ask = permits.AskPermit(tenant, digest, verdict.set_result)
        self.exchanges[index].send(ask)
        return await asyncio.wait_for(verdict, 2.0)


def run(scenario, **limits):
    async def whole():
        async with Exchanges(**limits) as exchanges:
            await scenario(exchanges)

    asyncio.run(whole())


def test_an_entry_without_room_uses_that_of_another(monkeypatch):
    monkeypatch.setattr(quota_shares, "choose_holders", lambda *_: ("e-1",))

    async def scenario(exchanges):
        own = await exchanges.ask(0)
        borrowed = await exchanges.ask(1)
        assert own.is_own
        assert not borrowed.is_own
        assert borrowed.until <= time.monotonic() + quota_shares.PERMIT_S
        for index in range(2):
            counters = exchanges.recorders[index].counters
            assert counters["quota_datagrams_sent"] == 1
            assert counters["quota_datagrams_received"] == 1

    run(scenario)


def test_entries_without_room_tell_when_to_return():
    async def scenario(exchanges):
        verdicts = [await exchanges.ask(index % 2) for index in range(40)]
        refused = [
            each for each in verdicts if isinstance(each, types.OverQuota)
        ]
        assert refused
        assert all(each.retry_after_s > 0.0 for each in refused)
        assert len(verdicts) - len(refused) <= 21

    run(scenario)


def test_a_holder_that_does_not_answer_holds_a_request_up_only_briefly(
    monkeypatch,
):
    """A request would wait for a lost datagram until its deadline."""
    monkeypatch.setattr(quota_shares, "choose_holders", lambda *_: ("e-1",))

    async def scenario(exchanges):
        await exchanges.exchanges[0].__aexit__(None, None, None)
        started = time.monotonic()
        assert await exchanges.ask(1) == types.Unreachable()
        assert time.monotonic() - started < 1.5

    run(scenario)


def test_a_withdrawn_key_gets_no_permit():
    async def scenario(exchanges):
        assert isinstance(await exchanges.ask(0), types.Granted)
        exchanges.configure([gateway.tenant(keys=("key-2",))], 2)
        assert await exchanges.ask(0) == types.KeyWithdrawn()

    run(scenario)


def test_a_request_over_the_quota_is_not_admitted():
    async def scenario(exchanges):
        assert await exchanges.ask_admission(0) == types.Admitted()
        while not isinstance(await exchanges.ask(0), types.OverQuota):
            pass
        refused = await exchanges.ask_admission(0)
        assert isinstance(refused, types.OverQuota)

    run(scenario)


def test_few_requests_wait_at_a_time():
    """Requests over the quota would wait for an upstream until refused."""

    async def scenario(exchanges):
        verdicts = [await exchanges.ask_admission(0) for _ in range(30)]
        admitted = verdicts.count(types.Admitted())
        assert 1 <= admitted < 15
        for _ in range(admitted):
            exchanges.exchanges[0].send(permits.Dismiss("acme"))
        assert await exchanges.ask_admission(0) == types.Admitted()

    run(scenario)


def test_tenants_without_a_limit_need_no_room():
    async def scenario(exchanges):
        for _ in range(50):
            assert isinstance(await exchanges.ask(0), types.Granted)
        sent = exchanges.recorders[0].counters["quota_datagrams_sent"]
        assert sent == 0

    run(scenario, rate_per_s=None)


def test_a_permit_that_is_returned_can_be_used_again():
    async def scenario(exchanges):
        for _ in range(60):
            verdict = await exchanges.ask(0)
            assert isinstance(verdict, types.Granted)
            assert verdict.is_own
            exchanges.exchanges[0].send(
                permits.ReturnPermit("acme", verdict.until)
            )

    run(scenario)


def test_an_expired_permit_cannot_be_returned():
    """Its room would be used in a burst with the one that has come since."""

    async def scenario(exchanges):
        verdicts = []
        for _ in range(60):
            verdicts.append(await exchanges.ask(0))
            expired = permits.ReturnPermit("acme", time.monotonic() - 0.1)
            exchanges.exchanges[0].send(expired)
        assert any(isinstance(each, types.OverQuota) for each in verdicts)

    run(scenario)


@pytest.mark.parametrize(
    "message",
    [types.Ask(7, "acme", 3), types.Grant(7, 2, 1.5)],
    ids=["ask", "grant"],
)
def test_messages_are_decoded_as_they_were_encoded(message):
    assert quota_codec.decode(quota_codec.encode(message)) == message


@hypothesis.given(strategies.binary(max_size=60))
def test_malformed_datagrams_are_ignored(content):
    decoded = quota_codec.decode(content)
    assert decoded is None or isinstance(decoded, types.Ask | types.Grant)


@pytest.mark.parametrize(
    "message", [types.Ask(7, "acme", -3), types.Grant(7, -2, 1.5)], ids=str
)
def test_negative_counts_are_malformed(message):
    """A negative count would add room to the share of its receiver."""
    assert quota_codec.decode(quota_codec.encode(message)) is None
