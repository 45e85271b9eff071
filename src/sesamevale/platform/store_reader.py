"""Reads the platform's store for the gateway."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from sesamevale.entries import state_reader
from sesamevale.platform import decoding
from sesamevale.platform import models
from sesamevale.platform import store_client
from sesamevale.policy.membership import shared_state

if TYPE_CHECKING:
    from sesamevale import event_log

__all__ = ["PlatformStoreReader"]

# Encoded length from which a configuration is left out of a read at the cost of
# another call: about the length of the rest of a read.
LARGE_CONFIG_CHARS = 64 * 1024


class PlatformStoreReader:
    """Reads all keys at once: one read returns everything the gateway needs.

    Reads are linearizable, so a drain or a version that the store has
    acknowledged is in the next read even if the store loses its history. A
    large configuration is left out of a read if its revision is unchanged in
    the same era of the store.

    Args:
        client: Client of the store.
        events: Log of values that are not valid.
    """

    def __init__(
        self, client: store_client.StoreClient, events: event_log.EventLog
    ) -> None:
        self._client = client
        self._events = events
        self._decoder = decoding.Decoder()
        self._rejected: dict[str, str] = {}
        self._large_config: models.Item | None = None
        self._large_config_era = 0

    async def read(
        self,
    ) -> shared_state.StoreContents | state_reader.StoreUnavailable:
        """Reads and decodes all keys."""
        found = await self._read_items()
        if isinstance(found, store_client.CallFailure):
            return state_reader.StoreUnavailable(found.reason, found.answered)
        decoded = self._decoder.decode(found.items, found.era)
        if decoded.rejected != self._rejected:
            self._rejected = decoded.rejected
            self._events.state("store_values_rejected", keys=decoded.rejected)
        return decoded.contents

    async def _read_items(
        self,
    ) -> store_client.Contents | store_client.CallFailure:
        era = self._client.era
        if self._large_config is None or era != self._large_config_era:
            return await self._read_all()
        config = await self._client.read_if_changed(self._large_config)
        if self._client.era != era:
            return await self._read_all()
        if isinstance(config, store_client.CallFailure):
            # Falls back to reading all keys unless the answer was lost.
            return config if config.outcome_unknown else await self._read_all()
        if isinstance(config, models.Item):
            self._large_config = config if _is_large_config(config) else None
        else:
            config = self._large_config
        rest = await self._client.read_all(after=decoding.CONFIG_KEY)
        if isinstance(rest, store_client.CallFailure):
            return rest
        if rest.era != era:
            return await self._read_all()
        return dataclasses.replace(rest, items=[config, *rest.items])

    async def _read_all(
        self,
    ) -> store_client.Contents | store_client.CallFailure:
        found = await self._client.read_all()
        if isinstance(found, store_client.CallFailure):
            return found
        large = (each for each in found.items if _is_large_config(each))
        self._large_config = next(large, None)
        self._large_config_era = found.era
        return found


def _is_large_config(item: models.Item) -> bool:
    """Whether an item is a configuration that reads leave out if unchanged."""
    return (
        item.key == decoding.CONFIG_KEY
        and len(item.value) >= LARGE_CONFIG_CHARS
    )
