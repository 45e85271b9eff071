"""``sesamevale upstreams``: lists the upstreams that one entry uses."""

from __future__ import annotations

from typing import Annotated
from typing import Any

import typer

from sesamevale.operators.commands import common

__all__ = ["upstreams"]


def upstreams(
    admin: common.AdminOption,
    service: Annotated[
        str, typer.Option(help="Service to list; all if left out.")
    ] = "",
    as_json: common.JsonOption = False,
) -> None:
    """Lists the upstreams, their slots and their health at one entry.

    Example: sesamevale upstreams --admin 127.0.0.1:7103 --service till
    """
    found = common.read_status(admin)["services"]
    if service:
        if service not in found:
            common.fail(common.ExitCode.FAULTS, f"no service {service!r}")
        found = {service: found[service]}
    if as_json:
        content = {name: each["upstreams"] for name, each in found.items()}
        common.print_json(content)
        return
    for name, each in found.items():
        for upstream in each["upstreams"]:
            typer.echo(f"{name}  {_format_upstream(upstream)}")


def _format_upstream(upstream: dict[str, Any]) -> str:
    states = [
        state for state in ("owned", "leaving", "ejected") if upstream[state]
    ]
    return (
        f"{upstream['name']}  {upstream['host']}:{upstream['port']}  "
        f"{upstream['in_flight']}/{upstream['slots']} slots"
        f"  allowed {upstream['allowed']}  {' '.join(states)}"
    )
