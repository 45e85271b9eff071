"""List of live and leaving VMs in the key-value service."""

from __future__ import annotations

from typing import Literal
from typing import TYPE_CHECKING

import pydantic

from sesamevale.etcd import watching

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["VmList"]


class _VmModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore")

    address: str
    state: Literal["live", "leaving"]


class VmList:
    """Addresses of VMs that are leaving.

    Args:
        on_change: Called with the addresses after each change.
    """

    def __init__(self, on_change: Callable[[frozenset[str]], None]) -> None:
        self._on_change = on_change
        self._leaving: dict[str, str] = {}

    def on_watch_message(
        self, message: watching.Snapshot | watching.KeyChanged
    ) -> None:
        """Handles a message of the watch on the list."""
        if isinstance(message, watching.Snapshot):
            self._leaving.clear()
            for record in message.records:
                self._update(record.key, record.value)
        elif message.value is None:
            self._leaving.pop(message.key, None)
        else:
            self._update(message.key, message.value)
        self._on_change(frozenset(self._leaving.values()))

    def _update(self, key: str, value: bytes) -> None:
        self._leaving.pop(key, None)
        try:
            vm = _VmModel.model_validate_json(value)
        except pydantic.ValidationError:
            return
        if vm.state == "leaving":
            self._leaving[key] = vm.address
