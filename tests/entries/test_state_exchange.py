"""Tests of the page that serves state and of its client."""

from __future__ import annotations

import asyncio

from sesamevale.entries import state_exchange
from sesamevale.operators import admin_server
from sesamevale.policy.membership import shared_state
from tests.builders import gateway

ROUTE_COUNT = 1_200


def make_state(configuration):
    found = shared_state.SharedState(5)
    contents = shared_state.StoreContents(
        configuration, (gateway.upstream(),), ()
    )
    found.record_read(contents, 1.0)
    return found


def large_configuration():
    return gateway.configuration(
        7,
        [
            gateway.route(name=f"n{number}", prefix=f"/{number}/x/")
            for number in range(ROUTE_COUNT)
        ],
    )


async def fetch_from(handler, mirror, delay=None):
    server = admin_server.AdminServer(
        "127.0.0.1", 0, {state_exchange.PATH: handler}
    )
    async with server:
        return await state_exchange.fetch_update(
            "127.0.0.1", server.port, mirror
        )


def test_a_large_configuration_arrives_and_is_sent_compressed():
    configuration = large_configuration()
    handler = state_exchange.make_handler(
        make_state(configuration), lambda: 2.5
    )
    mirror = shared_state.Mirror()
    update = asyncio.run(fetch_from(handler, mirror))
    assert update.age_s == 1.5
    assert mirror.apply(update).configuration == configuration
    plain = len(
        state_exchange._configuration_adapter().dump_json(configuration)
    )
    assert len(handler("epoch=0&revision=0").body) < plain / 5


def test_a_configuration_is_encoded_once_for_all_requests(monkeypatch):
    compressed = []
    compress = state_exchange.zlib.compress

    def counting(data, level):
        compressed.append(data)
        return compress(data, level)

    monkeypatch.setattr(state_exchange.zlib, "compress", counting)
    handler = state_exchange.make_handler(
        make_state(large_configuration()), lambda: 2.0
    )
    bodies = {handler("epoch=0&revision=0").body for _ in range(10)}
    assert (len(compressed), len(bodies)) == (1, 1)


def test_an_update_without_a_configuration_is_small():
    found = make_state(large_configuration())
    handler = state_exchange.make_handler(found, lambda: 2.0)
    assert len(handler("epoch=5&revision=1").body) < 300


def test_a_malformed_answer_is_ignored():
    bodies = [b"", b"{}", b"\n", b"[1]\nx"]
    whole = state_exchange.make_handler(
        make_state(large_configuration()), lambda: 2.0
    )("").body
    bodies += [whole[:-10], whole[: len(whole) // 2], whole + b"x"]
    for body in bodies:

        def handler(query, body=body):
            return admin_server.Page(200, "text/plain", body)

        assert asyncio.run(fetch_from(handler, shared_state.Mirror())) is None
