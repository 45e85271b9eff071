"""Exchange of the store's contents between entries over HTTP."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import urllib.parse
import zlib
from typing import TYPE_CHECKING

import h11
import pydantic

from sesamevale import routes
from sesamevale import sockets
from sesamevale.operators import admin_client
from sesamevale.operators import admin_server
from sesamevale.policy.membership import shared_state

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["PATH", "fetch_update", "make_handler"]

PATH = "/state"
CONTENT_TYPE = "application/octet-stream"
# Entries of one data centre answer each other within a few milliseconds.
SILENCE_TIMEOUT_S = 0.4
# Limit for a complete answer; a large configuration may cross a slow link.
FETCH_TIMEOUT_S = 1.0
NO_CONTENT = 204
# Repeated names make up most of a configuration, so the fastest level
# suffices.
COMPRESSION_LEVEL = 1
# More than the platform's store accepts for a configuration.
CONFIGURATION_BYTES_MAX = 16 * 1024 * 1024


# Validators are built at their first use: building them would delay the start
# of an entry, which reads the store first.
@functools.cache
def _update_adapter() -> pydantic.TypeAdapter[shared_state.Update]:
    return pydantic.TypeAdapter(shared_state.Update)


@functools.cache
def _configuration_adapter() -> pydantic.TypeAdapter[routes.Configuration]:
    return pydantic.TypeAdapter(routes.Configuration)


class _ConfigurationEncoder:
    """Encodes a configuration once for all requests."""

    def __init__(self) -> None:
        self._cached: tuple[routes.Configuration | None, bytes] = (None, b"")

    def encode(self, configuration: routes.Configuration | None) -> bytes:
        if configuration is None:
            return b""
        cached, encoded = self._cached
        if cached is not configuration:
            plain = _configuration_adapter().dump_json(configuration)
            encoded = zlib.compress(plain, COMPRESSION_LEVEL)
            self._cached = configuration, encoded
        return encoded


def make_handler(
    state: shared_state.SharedState, clock: Callable[[], float]
) -> Callable[[str], admin_server.Page]:
    """Returns the handler of the page from which other entries fetch updates.

    An answer is the update as one line of JSON, followed by the configuration
    as JSON compressed by zlib if it has changed.

    Args:
        state: Contents of the store that this entry holds.
        clock: Source of monotonic time in seconds.
    """
    encoder = _ConfigurationEncoder()

    def handler(query: str) -> admin_server.Page:
        parameters = dict(urllib.parse.parse_qsl(query))
        try:
            epoch = int(parameters.get("epoch", "0"))
            revision = int(parameters.get("revision", "0"))
        except ValueError:
            return admin_server.Page(400, "text/plain", b"two numbers\n")
        update = state.changes_since(epoch, revision, clock())
        if update is None:
            return admin_server.Page(NO_CONTENT, CONTENT_TYPE, b"")
        without_configuration = dataclasses.replace(update, configuration=None)
        encoded = encoder.encode(update.configuration)
        body = b"\n".join(
            (_update_adapter().dump_json(without_configuration), encoded)
        )
        return admin_server.Page(200, CONTENT_TYPE, body)

    return handler


async def fetch_update(
    host: str, port: int, mirror: shared_state.Mirror
) -> shared_state.Update | None:
    """Fetches the changes of another entry's state.

    Args:
        host: IP address of the entry.
        port: TCP port of the entry.
        mirror: Copy of the state that the changes are to be applied to.

    Returns:
        The changes, or None without a valid answer in time or if the entry
        has no contents of the store yet.
    """
    stream = None
    try:
        async with asyncio.timeout(FETCH_TIMEOUT_S):
            stream = await sockets.connect(host, port, SILENCE_TIMEOUT_S)
            if stream is None:
                return None
            body = await admin_client.fetch_page(
                stream,
                f"{host}:{port}",
                f"{PATH}?epoch={mirror.epoch}&revision={mirror.revision}",
                SILENCE_TIMEOUT_S,
            )
    except (TimeoutError, h11.ProtocolError):
        return None
    finally:
        if stream is not None:
            stream.abort()
    return _decode_update(body) if body else None


def _decode_update(body: bytes) -> shared_state.Update | None:
    """Decodes the body of an answer; None if it is malformed."""
    line, _, encoded = body.partition(b"\n")
    try:
        update = _update_adapter().validate_json(line)
        if not encoded:
            return update
        decompressor = zlib.decompressobj()
        plain = decompressor.decompress(encoded, CONFIGURATION_BYTES_MAX)
        if not decompressor.eof or decompressor.unused_data:
            return None
        configuration = _configuration_adapter().validate_json(plain)
    except (pydantic.ValidationError, zlib.error):
        return None
    return dataclasses.replace(update, configuration=configuration)
