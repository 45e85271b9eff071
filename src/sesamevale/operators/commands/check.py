"""``sesamevale check``: checks a document file."""

from __future__ import annotations

import dataclasses

import typer

from sesamevale import document_models
from sesamevale.operators import document_files
from sesamevale.operators.commands import common

__all__ = ["check"]


def check(file: str, as_json: common.JsonOption = False) -> None:
    """Checks a document file and prints every fault.

    Example: sesamevale check examples/pritchard.toml
    """
    loaded = document_files.load(file)
    if isinstance(loaded, document_models.DocumentModel):
        _print_summary(loaded, as_json)
        return
    if as_json:
        common.print_json([dataclasses.asdict(fault) for fault in loaded])
    else:
        for fault in loaded:
            typer.echo(str(fault), err=True)
    raise typer.Exit(common.ExitCode.FAULTS)


def _print_summary(model: document_models.DocumentModel, as_json: bool) -> None:
    if as_json:
        common.print_json([])
        return
    for name, service in model.services.items():
        slots = sum(upstream.slots for upstream in service.upstreams)
        typer.echo(
            f"{name}: {len(service.upstreams)} upstreams, {slots} slots, "
            f"{len(service.rules)} rules"
        )
