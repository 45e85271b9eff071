"""``sesamevale explain``: shows the logged events of one request."""

from __future__ import annotations

import dataclasses
import pathlib
from typing import Annotated

import typer

from sesamevale.operators import event_files
from sesamevale.operators.commands import common

__all__ = ["explain"]


def explain(
    request_id: Annotated[
        str, typer.Argument(help="Identifier of the caller's attempt.")
    ],
    files: Annotated[
        list[pathlib.Path], typer.Argument(help="Log files of the entries.")
    ],
    as_json: common.JsonOption = False,
) -> None:
    """Shows a request's events and the state of its entry at the time.

    Example: sesamevale explain 9c41d07be2a35f68 entry-1.log entry-2.log
    """
    lines: list[str] = []
    for path in files:
        try:
            text = path.read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            common.fail(common.ExitCode.FAULTS, f"{path}: {error.strerror}")
        lines += text.splitlines()
    found = event_files.find_request_events(
        event_files.parse_lines(lines), request_id
    )
    if not found:
        common.fail(
            common.ExitCode.FAULTS,
            f"{request_id}: no event in these logs; its line may have been "
            "dropped (see dropped_before) or another entry served it",
        )
    if as_json:
        common.print_json([dataclasses.asdict(each) for each in found])
        return
    for each in found:
        typer.echo(str(each))
