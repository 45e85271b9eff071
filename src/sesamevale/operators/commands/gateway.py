"""``sesamevale gateway``: shows the state of one gateway entry."""

from __future__ import annotations

from typing import Any

import typer

from sesamevale.operators.commands import common

__all__ = ["gateway"]


def gateway(
    admin: common.AdminOption, as_json: common.JsonOption = False
) -> None:
    """Shows the configuration and upstreams of a gateway entry, and their age.

    Example: sesamevale gateway --admin 10.1.0.18:9464
    """
    content = common.read_status(admin)
    if as_json:
        common.print_json(content)
        return
    typer.echo(f"{content['entry']}: {_readiness(content)}")
    typer.echo(
        f"  configuration {content['config']}, "
        f"seen {_format_age(content['config_age_s'])} ago"
    )
    typer.echo(
        f"  upstreams read {_format_age(content['upstreams_age_s'])} ago"
    )
    for data_center, age_s in content["evacuated"].items():
        typer.echo(f"  {data_center} is evacuated for {_format_age(age_s)}")
    typer.echo(f"  callers are sent to {', '.join(content['members'])}")
    for name, service in content["services"].items():
        usable = service["upstreams"]
        ejected = sum(each["ejected"] for each in usable.values())
        typer.echo(
            f"  {name}: {service['active']} active, {len(usable)} upstreams, "
            f"{ejected} ejected, "
            f"mean slowdown {service['average_slowdown']:.2f}, "
            f"{service['average_utilization']:.0%} of the slots in use"
        )
        for each in service["signals"]:
            typer.echo(f"    {_format_signal(each)}")


def _format_signal(content: dict[str, Any]) -> str:
    begin = f"{content['upstream_id']}: {content['signal']}"
    since = f"for {content['age_s']:.1f} s"
    if content["signal"] == "pause":
        return f"{begin} {since}, {content['value']:.1f} s left"
    if content["signal"] in ("warmup", "doubtful"):
        left = f"{begin} {since}, {content['value']:.1f} s left"
        share = content.get("share")
        return f"{left}, share here {share:.2g} a second" if share else left
    if content["signal"] == "leaving":
        return f"{begin} {since}"
    begin += f" {content['value']:g} a second {since}"
    used = content.get("used")
    if used is None:
        return f"{begin}, no share here"
    return f"{begin}, share here {content['share']:.2g}, {used:.0%} used"


def _readiness(content: dict[str, Any]) -> str:
    if content["ready"]:
        return "ready"
    if content["stopping"]:
        return "not ready: stopping"
    if not content["config"]:
        return "not ready: no configuration was read yet"
    return "not ready: the upstreams were not read yet"


def _format_age(value: float | None) -> str:
    return "never" if value is None else f"{value:.1f} s"
