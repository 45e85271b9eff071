"""``sesamevale status``: shows one entry and the revision of each entry."""

from __future__ import annotations

from typing import Any

import typer

from sesamevale.operators.commands import common

__all__ = ["status"]


def status(
    admin: common.AdminOption, as_json: common.JsonOption = False
) -> None:
    """Shows an entry, its services, and the document revision of each entry.

    Example: sesamevale status --admin 127.0.0.1:7103
    """
    content = common.read_status(admin)
    if as_json:
        common.print_json(content)
        return
    state = "draining" if content["draining"] else "serving"
    typer.echo(
        f"{content['entry']} ({content['data_center']}): {state}, "
        f"environment {content['environment']}, "
        f"revision {content['revision']}, "
        f"{content['active_calls']} calls active"
    )
    for service, each in content["services"].items():
        typer.echo(
            f"  {service}: homes {', '.join(each['homes'])}; "
            f"{each['active']} active, {each['queued']} queued"
        )
    _print_revisions(content)


def _print_revisions(content: dict[str, Any]) -> None:
    newest = max(member["revision"] for member in content["members"])
    for member in content["members"]:
        if member["status"] == "dead":
            continue
        lag = " (lags)" if member["revision"] < newest else ""
        typer.echo(
            f"  {member['entry']}: {member['status']}, "
            f"revision {member['revision']}{lag}"
        )
