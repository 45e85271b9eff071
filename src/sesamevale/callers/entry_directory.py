"""Entry directory that callers fetch over HTTP."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from urllib import parse

from sesamevale.policy.membership import directory

if TYPE_CHECKING:
    from sesamevale.dispatching import router
    from sesamevale.policy.register import identity

__all__ = ["PATH", "answer"]

PATH = "/.well-known/sesamevale/directory"


def answer(
    view: router.ClusterView,
    target: str,
    revision: int,
    ticket: identity.Ticket,
) -> bytes:
    """Returns the directory for a caller as JSON.

    Args:
        view: View of the entries and the document at this entry.
        target: Request target; ``?service=NAME`` puts that service's homes
            first.
        revision: Number that grows with each change of the directory.
        ticket: New ticket for the caller's actions.
    """
    query = parse.parse_qs(parse.urlsplit(target).query)
    service = query.get("service", [""])[0]
    home_map = view.home_maps.get(service)
    entries = directory.build(view.usable, home_map)
    lifetime_ms = 0
    if view.environment is not None:
        lifetime_ms = view.environment.directory_lifetime_ms
    content = {
        "revision": revision,
        "lifetime_ms": lifetime_ms,
        "answered_by": {
            "entry": view.own.entry_id,
            "incarnation": view.own.incarnation,
        },
        "ticket": str(ticket),
        "entries": [
            {
                "entry": entry.entry_id,
                "host": entry.host,
                "port": entry.port,
                "data_center": entry.data_center,
                "weight": entry.weight,
            }
            for entry in entries
        ],
    }
    return json.dumps(content).encode()
