"""``sesamevale entries``: lists the entries."""

from __future__ import annotations

import typer

from sesamevale.operators.commands import common

__all__ = ["entries"]


def entries(
    admin: common.AdminOption, as_json: common.JsonOption = False
) -> None:
    """Lists the entries in the membership view of one of them.

    Example: sesamevale entries --admin 127.0.0.1:7103
    """
    members = common.read_status(admin)["members"]
    if as_json:
        common.print_json(members)
        return
    for member in members:
        typer.echo(
            f"{member['entry']}  {member['status']}  "
            f"{member['data_center']}  {member['host']}:"
            f"{member['caller_port']}  revision {member['revision']}"
        )
