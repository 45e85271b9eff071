"""``sesamevale history``: lists the accepted changes."""

from __future__ import annotations

import dataclasses
import datetime

import typer

from sesamevale.etcd import client
from sesamevale.etcd import store
from sesamevale.operators.commands import common

__all__ = ["history"]


def history(
    environment: common.EnvironmentOption,
    platform: common.PlatformOption,
    as_json: common.JsonOption = False,
) -> None:
    """Lists the accepted changes of an environment, oldest first.

    Example: sesamevale history --environment production
    """

    async def work(documents: store.DocumentStore) -> None:
        accepted = await documents.history()
        if isinstance(accepted, client.Unavailable):
            common.exit_unreachable()
        if as_json:
            common.print_json([dataclasses.asdict(each) for each in accepted])
            return
        for each in accepted:
            moment = datetime.datetime.fromtimestamp(each.time_s, datetime.UTC)
            typer.echo(
                f"{each.revision}  {moment:%Y-%m-%d %H:%M:%S}Z  "
                f"{each.author}  base {each.base}  change {each.change_id}"
            )

    common.run_with_store(platform, environment, work)
