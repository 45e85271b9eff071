"""Command line for operators; each subcommand has a module."""

from __future__ import annotations

import typer

from sesamevale.operators.commands import check
from sesamevale.operators.commands import diff
from sesamevale.operators.commands import entries
from sesamevale.operators.commands import explain
from sesamevale.operators.commands import gateway
from sesamevale.operators.commands import history
from sesamevale.operators.commands import promote
from sesamevale.operators.commands import schema
from sesamevale.operators.commands import status
from sesamevale.operators.commands import submit
from sesamevale.operators.commands import tenants
from sesamevale.operators.commands import upstreams

__all__ = ["main"]

app = typer.Typer(
    help="Configures and inspects a fleet of sesamevale entries.",
    no_args_is_help=True,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)

for _command in (
    check.check,
    schema.schema,
    submit.submit,
    diff.diff,
    promote.promote,
    history.history,
    status.status,
    entries.entries,
    upstreams.upstreams,
    gateway.gateway,
    tenants.tenants,
    explain.explain,
):
    app.command()(_command)


def main() -> None:
    """Runs the command line."""
    app()


if __name__ == "__main__":
    main()
