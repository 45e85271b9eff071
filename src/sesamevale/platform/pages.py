"""Pages that the platform and its callers ask an entry for."""

from __future__ import annotations

import json
import urllib.parse
from typing import TYPE_CHECKING

from sesamevale.operators import admin_server

if TYPE_CHECKING:
    from sesamevale import gateway as gateways

__all__ = ["PageHandlers"]

JSON_TYPE = "application/json"
# Addresses that a caller takes from one answer.
ADDRESSES_MAX = 64


class PageHandlers:
    """Makes the pages from what the gateway knows.

    Args:
        gateway: The gateway.
        lifetime_s: How long callers keep a directory answer, in seconds.
    """

    def __init__(self, gateway: gateways.Gateway, lifetime_s: float) -> None:
        self._gateway = gateway
        self._lifetime_s = lifetime_s

    def readiness(self, query: str) -> admin_server.Page:
        """Says whether callers may be sent to this entry."""
        if self._gateway.is_ready:
            return admin_server.Page(200, JSON_TYPE, b"{}")
        return admin_server.Page(503, JSON_TYPE, b"{}")

    def resolve(self, query: str) -> admin_server.Page:
        """Tells a caller which entries to use."""
        asked = urllib.parse.parse_qs(query)
        data_center = asked.get("zone", [""])[0]
        addresses = self._gateway.directory_addresses(data_center)[
            :ADDRESSES_MAX
        ]
        if not addresses:
            return admin_server.Page(503, JSON_TYPE, b"{}")
        body = {"addresses": addresses, "ttlS": self._lifetime_s}
        return admin_server.Page(200, JSON_TYPE, json.dumps(body).encode())
