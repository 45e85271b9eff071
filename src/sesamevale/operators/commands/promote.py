"""``sesamevale promote``: copies a document to another environment."""

from __future__ import annotations

from typing import Annotated

import typer

from sesamevale.etcd import client
from sesamevale.etcd import store
from sesamevale.operators.commands import common
from sesamevale.operators.commands import submit
from sesamevale.policy.configuration import document_follower

__all__ = ["promote"]

StoredDocument = tuple[document_follower.Manifest, dict[str, bytes]]


def promote(
    source: Annotated[str, typer.Argument(help="Environment to copy.")],
    target: Annotated[str, typer.Argument(help="Environment to change.")],
    revision: Annotated[
        int, typer.Option(help="Revision of the source to copy.")
    ],
    base: Annotated[
        int, typer.Option(help="Revision of the target that the copy replaces.")
    ],
    platform: common.PlatformOption,
    author: submit.AuthorOption = "operator",
    as_json: common.JsonOption = False,
) -> None:
    """Copies an accepted revision of one environment to another.

    Example: sesamevale promote trial production --revision 1796300000 --base 0
    """
    manifest, contents = common.run_with_store(
        platform, source, lambda documents: _read_revision(documents, revision)
    )
    parts = {name: contents[digest] for name, digest in manifest.parts}

    async def work(documents: store.DocumentStore) -> None:
        head = await documents.head()
        if isinstance(head, client.Unavailable):
            common.exit_unreachable()
        content = common.decode_parts(parts)
        if head.revision != base:
            await submit.exit_with_conflict(
                documents, head, base, content, as_json
            )
        outcome = await documents.submit(parts, head, author)
        await submit.report_outcome(documents, outcome, base, content, as_json)

    common.run_with_store(platform, target, work)


async def _read_revision(
    documents: store.DocumentStore, revision: int
) -> StoredDocument:
    history = await documents.history()
    if isinstance(history, client.Unavailable):
        common.exit_unreachable()
    found = [each for each in history if each.revision == revision]
    if not found:
        common.fail(
            common.ExitCode.FAULTS, f"revision {revision} was never accepted"
        )
    contents = await documents.parts(found[0].digests)
    if isinstance(contents, client.Unavailable):
        common.exit_unreachable()
    if len(contents) < len(found[0].digests):
        common.fail(
            common.ExitCode.FAULTS,
            "the platform lacks parts of the revision to copy",
        )
    return found[0], contents
