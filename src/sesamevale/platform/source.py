"""Reads the platform's store in the gateway's terms."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamevale.entries import state_reader
from sesamevale.platform import decoding
from sesamevale.platform import store
from sesamevale.policy import shared_state

if TYPE_CHECKING:
    from sesamevale import event_log

__all__ = ["StoreSource"]


class StoreSource:
    """Reads all keys at once, so that one call serves every purpose.

    Reads are linearizable, so a drain or a version that the store has
    acknowledged is in the next read, whatever becomes of its history.

    Args:
        client: Client of the store.
        events: Where values that make no sense are logged.
    """

    def __init__(
        self, client: store.StoreClient, events: event_log.EventLog
    ) -> None:
        self._client = client
        self._events = events
        self._decoder = decoding.Decoder()
        self._rejected: dict[str, str] = {}

    async def read(self) -> shared_state.StoreView | state_reader.Unavailable:
        """Reads everything at once."""
        found = await self._client.read_all()
        if isinstance(found, store.Failed):
            return state_reader.Unavailable(found.why)
        decoded = self._decoder.decode(found)
        if decoded.rejected != self._rejected:
            self._rejected = decoded.rejected
            self._events.state("store_values_rejected", keys=decoded.rejected)
        return decoded.view
