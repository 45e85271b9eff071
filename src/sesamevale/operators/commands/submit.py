"""``sesamevale submit``: submits a document file."""

from __future__ import annotations

import functools
from typing import Annotated
from typing import Any

import typer

from sesamevale import document_models
from sesamevale.etcd import client
from sesamevale.etcd import store
from sesamevale.operators.commands import common
from sesamevale.policy.configuration import differences

__all__ = ["report_outcome", "submit"]

AuthorOption = Annotated[
    str, typer.Option(help="Author of the change.", envvar="USER")
]


def submit(
    file: str,
    base: Annotated[
        int, typer.Option(help="Revision that the file is based on.")
    ],
    platform: common.PlatformOption,
    author: AuthorOption = "operator",
    as_json: common.JsonOption = False,
) -> None:
    """Submits a document file as a change of the revision it is based on.

    The change is accepted only if that revision is still in force. Otherwise
    the changes of both sides are shown and the exit code is 4.

    Example: sesamevale submit examples/pritchard.toml --base 0
    """
    model = common.load_or_exit(file)

    async def work(documents: store.DocumentStore) -> None:
        head = await documents.head()
        if isinstance(head, client.Unavailable):
            common.exit_unreachable()
        content = common.content_of(model)
        if head.revision != base:
            await exit_with_conflict(documents, head, base, content, as_json)
        parts = document_models.to_parts(model)
        outcome = await documents.submit(parts, head, author)
        await report_outcome(documents, outcome, base, content, as_json)

    common.run_with_store(platform, model.environment, work)


async def report_outcome(
    documents: store.DocumentStore,
    outcome: store.SubmitOutcome,
    base: int,
    content: dict[str, Any],
    as_json: bool,
) -> None:
    """Prints the outcome of a change and exits if it was not accepted."""
    if isinstance(outcome, store.Conflict):
        await exit_with_conflict(
            documents, outcome.head, base, content, as_json
        )
    _report(outcome, as_json)


async def exit_with_conflict(
    documents: store.DocumentStore,
    head: store.Head,
    base: int,
    content: dict[str, Any],
    as_json: bool,
) -> None:
    """Prints the changes of both sides since the base, and exits."""
    base_content: dict[str, Any] = {}
    history = await documents.history()
    if isinstance(history, client.Unavailable):
        common.exit_unreachable()
    for manifest in history:
        if manifest.revision == base:
            base_content = await common.read_document(documents, manifest)
    head_content = await common.read_document(documents, head.manifest)
    theirs = common.changes_between(base_content, head_content)
    yours = common.changes_between(base_content, content)
    both = differences.conflicting_paths(theirs, yours)
    if as_json:
        common.print_json(
            {
                "outcome": "conflict",
                "base": base,
                "in_force": head.revision,
                "theirs": [str(change) for change in theirs],
                "yours": [str(change) for change in yours],
                "both": both,
            }
        )
        raise typer.Exit(common.ExitCode.CONFLICT)
    author = head.manifest.author if head.manifest is not None else "nobody"
    typer.echo(f"changes since {base} by {author} (in force):", err=True)
    _echo_changes(theirs)
    typer.echo(f"your changes since {base} (not accepted):", err=True)
    _echo_changes(yours)
    if both:
        typer.echo(f"changed on both sides: {', '.join(both)}", err=True)
    common.fail(
        common.ExitCode.CONFLICT,
        f"revision {head.revision} is in force, not {base}",
    )


def _echo_changes(changes: list[differences.Change]) -> None:
    for change in changes:
        typer.echo(f"  {change}", err=True)


@functools.singledispatch
def _report(outcome: store.SubmitOutcome, as_json: bool) -> None:
    raise TypeError(f"no handler for {type(outcome).__name__}")


@_report.register
def _(outcome: store.Accepted, as_json: bool) -> None:
    revision = outcome.manifest.revision
    if as_json:
        common.print_json({"outcome": "accepted", "revision": revision})
        return
    typer.echo(f"accepted as revision {revision}")


@_report.register
def _(outcome: store.Unreachable, as_json: bool) -> None:
    common.exit_unreachable()


@_report.register
def _(outcome: store.OutcomeUnknown, as_json: bool) -> None:
    common.fail(
        common.ExitCode.UNDECIDED,
        f"no answer from the platform: change {outcome.change_id} may be in "
        f"force as revision {outcome.revision}; "
        "look it up with `sesamevale history`",
    )
