"""``sesamevale tenants``: shows the use of the tenants' quotas."""

from __future__ import annotations

import collections
from typing import Annotated
from typing import Any

import typer

from sesamevale.operators.commands import common

__all__ = ["tenants"]


def tenants(
    admin: Annotated[
        list[str],
        typer.Option(help="Address of an entry's admin port; repeatable."),
    ],
    as_json: common.JsonOption = False,
) -> None:
    """Shows what gateway entries let through for tenants with a quota.

    Example: sesamevale tenants --admin 10.1.0.18:9464 --admin 10.2.0.25:9464
    """
    content = _sum_up([common.read_status(each)["tenants"] for each in admin])
    if as_json:
        common.print_json(content)
        return
    for name, use in sorted(content.items()):
        typer.echo(
            f"{name}: {use['admitted']} admitted and {use['refused']} refused "
            f"in {use['window_s']:g} s at {use['entries']} entries; "
            f"quota {use['rate_per_s']:g} a second and {use['burst']:g} at once"
        )


def _sum_up(
    statuses: list[dict[str, dict[str, Any]]],
) -> dict[str, dict[str, Any]]:
    """Adds up the use of each tenant at several entries."""
    total: dict[str, dict[str, Any]] = collections.defaultdict(
        lambda: {"admitted": 0, "refused": 0, "entries": 0}
    )
    for status in statuses:
        for name, use in status.items():
            sums = total[name]
            sums["admitted"] += use["admitted"]
            sums["refused"] += use["refused"]
            sums["entries"] += 1
            for key in ("window_s", "rate_per_s", "burst"):
                sums[key] = use[key]
    return dict(total)
