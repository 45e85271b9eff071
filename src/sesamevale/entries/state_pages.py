"""Passing on what was read from the store, from entry to entry."""

from __future__ import annotations

import asyncio
import urllib.parse
from typing import TYPE_CHECKING

import h11
import pydantic

from sesamevale import sockets
from sesamevale.operators import admin_client
from sesamevale.operators import admin_server
from sesamevale.policy import shared_state

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["PATH", "ask", "page"]

PATH = "/state"
JSON_TYPE = "application/json"
# Entries of one data centre answer each other within a few milliseconds; a
# whole state takes longer on a slow link.
ASK_TIMEOUT_S = 0.4
NO_CONTENT = 204

_UPDATE = pydantic.TypeAdapter(shared_state.Update)


def page(
    state: shared_state.SharedState, clock: Callable[[], float]
) -> Callable[[str], admin_server.Page]:
    """Returns the page that tells other entries what was read.

    Args:
        state: What this entry knows.
        clock: Source of monotonic time in seconds.
    """

    def make(query: str) -> admin_server.Page:
        asked = dict(urllib.parse.parse_qsl(query))
        try:
            epoch = int(asked.get("epoch", "0"))
            revision = int(asked.get("revision", "0"))
        except ValueError:
            return admin_server.Page(400, "text/plain", b"two numbers\n")
        update = state.since(epoch, revision, clock())
        if update is None:
            return admin_server.Page(NO_CONTENT, JSON_TYPE, b"")
        return admin_server.Page(200, JSON_TYPE, _UPDATE.dump_json(update))

    return make


async def ask(
    host: str, port: int, mirror: shared_state.Mirror
) -> shared_state.Update | None:
    """Asks another entry for its changes; None if there is no answer."""
    stream = None
    try:
        async with asyncio.timeout(ASK_TIMEOUT_S):
            stream = await sockets.connect(host, port, ASK_TIMEOUT_S)
            if stream is None:
                return None
            body = await admin_client.fetch(
                stream,
                f"{host}:{port}",
                f"{PATH}?epoch={mirror.epoch}&revision={mirror.revision}",
            )
    except (TimeoutError, h11.ProtocolError):
        return None
    finally:
        if stream is not None:
            stream.abort()
    try:
        return _UPDATE.validate_json(body) if body else None
    except pydantic.ValidationError:
        return None
