"""HTTP pages of an entry for the platform and its callers."""

from __future__ import annotations

import json
import urllib.parse
from typing import TYPE_CHECKING

from sesamevale.operators import admin_server

if TYPE_CHECKING:
    from sesamevale import gateway as gateways

__all__ = ["PageHandlers"]

JSON_TYPE = "application/json"
# Largest number of addresses that a caller accepts in one answer.
ADDRESSES_MAX = 64


class PageHandlers:
    """Renders the pages from the state of the gateway.

    Args:
        gateway: The gateway.
        lifetime_s: Lifetime of a directory answer at callers, in seconds.
    """

    def __init__(self, gateway: gateways.Gateway, lifetime_s: float) -> None:
        self._gateway = gateway
        self._lifetime_s = lifetime_s

    def readiness(self, query: str) -> admin_server.Page:
        """Answers 200 if this entry is ready for callers, else 503."""
        if self._gateway.is_ready:
            return admin_server.Page(200, JSON_TYPE, b"{}")
        return admin_server.Page(503, JSON_TYPE, b"{}")

    def resolve(self, query: str) -> admin_server.Page:
        """Returns the addresses of the entries for a caller."""
        parameters = urllib.parse.parse_qs(query)
        data_center = parameters.get("zone", [""])[0]
        addresses = self._gateway.directory_addresses(data_center)[
            :ADDRESSES_MAX
        ]
        if not addresses:
            return admin_server.Page(503, JSON_TYPE, b"{}")
        body = {"addresses": addresses, "ttlS": self._lifetime_s}
        return admin_server.Page(200, JSON_TYPE, json.dumps(body).encode())
