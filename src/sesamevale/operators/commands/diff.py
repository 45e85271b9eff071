"""``sesamevale diff``: compares a file with the document in force."""

from __future__ import annotations

import typer

from sesamevale.etcd import client
from sesamevale.etcd import store
from sesamevale.operators.commands import common

__all__ = ["diff"]


def diff(
    file: str,
    platform: common.PlatformOption,
    as_json: common.JsonOption = False,
) -> None:
    """Shows what a document file would change.

    The first line names the revision in force, for ``submit --base``.

    Example: sesamevale diff examples/pritchard.toml
    """
    model = common.load_or_exit(file)

    async def work(documents: store.DocumentStore) -> None:
        head = await documents.head()
        if isinstance(head, client.Unavailable):
            common.exit_unreachable()
        before = await common.read_document(documents, head.manifest)
        changes = common.changes_between(before, common.content_of(model))
        if as_json:
            common.print_json(
                {
                    "revision": head.revision,
                    "changes": [str(change) for change in changes],
                }
            )
            return
        typer.echo(f"revision {head.revision} is in force")
        for change in changes:
            typer.echo(str(change))

    common.run_with_store(platform, model.environment, work)
