"""Entries of upstreams that another writer has left in the store."""

from __future__ import annotations

import base64
import json

from tests.builders import store_items

NESTED = "[" * 100_000 + "]" * 100_000


def _raw_item(key: str, content: str) -> dict:
    item = store_items.item(key, {})
    return item | {"value": base64.b64encode(content.encode()).decode()}


def _heartbeat_text(**fields: str) -> str:
    """Returns a heartbeat with fields in JSON text of their own."""
    text = json.dumps(store_items.heartbeat())[:-1]
    return (
        text + "".join(f', "{key}": {value}' for key, value in fields.items())
    ) + "}"


ALL = {
    "nested": _raw_item("servers/i-odd", NESTED),
    "nested field": _raw_item("servers/i-odd", _heartbeat_text(history=NESTED)),
    "port out of range": store_items.item(
        "servers/i-odd", store_items.heartbeat(address="127.0.0.1:99999")
    ),
    "port zero": store_items.item(
        "servers/i-odd", store_items.heartbeat(address="127.0.0.1:0")
    ),
    "no address": store_items.item(
        "servers/i-odd", store_items.heartbeat(address="x999.0.0.1:80y")
    ),
    "host out of range": store_items.item(
        "servers/i-odd", store_items.heartbeat(address="999.0.0.1:80")
    ),
    "slots too large": _raw_item(
        "servers/i-odd", _heartbeat_text(slots="9" * 400)
    ),
    "sequence too large": _raw_item(
        "servers/i-odd", _heartbeat_text(seqNo="9" * 400)
    ),
    "start too large": _raw_item(
        "servers/i-odd", _heartbeat_text(born="9" * 400)
    ),
    "warm-up without end": _raw_item(
        "servers/i-odd", _heartbeat_text(warmupLeftMs="1e400")
    ),
    "identifier that is no header value": store_items.item(
        "servers/i-\n\u00e9", store_items.heartbeat()
    ),
    "no identifier": store_items.item("servers/", store_items.heartbeat()),
}
