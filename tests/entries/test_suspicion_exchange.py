"""Suspicions between entries, over sockets."""

from __future__ import annotations

import asyncio
import contextlib
import random

from sesamevale import metrics
from sesamevale.entries import codec
from sesamevale.entries import gossip
from sesamevale.entries import suspicion_exchange
from sesamevale.policy.membership import membership
from sesamevale.policy.membership import registered_peers
from tests.builders import loopback
from tests.builders import policy_values
from tests.builders import suspicions

HOST = "127.0.0.1"


class Services:
    """Stands for the tasks of an entry's services."""

    def __init__(self):
        self.tasks = {"sheet": self}
        self.heard = []

    def send(self, message):
        self.heard += message.suspicions


@contextlib.asynccontextmanager
async def entry(name, port, peers):
    """Yields the exchange of one entry, and its services."""
    services = Services()
    member = policy_values.member(name, port=port)
    view = membership.Membership(
        member, "test", membership.Timing(), random.Random(1)
    )
    gossiping = gossip.Gossip(
        view,
        HOST,
        port,
        lambda: None,
        lambda: None,
        metrics.MetricsRecorder(),
        lambda heard: exchange.hear(heard),
    )
    exchange = suspicion_exchange.SuspicionExchange(
        gossiping, peers, services, random.Random(1)
    )
    async with gossiping, exchange:
        yield exchange, services


# Guards against a caller that repeats a deadly request at another entry, in
# another data centre.
def test_a_suspicion_reaches_an_entry_of_another_data_center():
    ports = loopback.free_ports(2)
    far = registered_peers.RegisteredPeers("e1", "rhondda")
    far.record_read(
        [registered_peers.Peer("e2", "cynon", HOST, 1, ports[1])], 0.0
    )
    none = registered_peers.RegisteredPeers("e2", "cynon")

    async def scenario():
        async with (
            entry("e1", ports[0], far) as (finder, own),
            entry("e2", ports[1], none) as (_, others),
        ):
            finder.find((suspicions.death(1, 7, 0.0),))
            async with asyncio.timeout(5):
                while not (own.heard and others.heard):
                    await asyncio.sleep(0.01)
            assert [each.request for each in others.heard] == [1]
            assert [each.upstream for each in others.heard] == [7]

    asyncio.run(scenario())


def test_a_datagram_of_suspicions_is_no_gossip_message():
    data = codec.encode_rumor(b"rows")
    assert codec.decode_datagram(data) == b"rows"
    assert codec.decode_datagram(data[:-3]) in (None, b"")
