"""Daemon process: reads its settings and runs one entry until a signal."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from typing import Annotated

import typer
from absl import logging

from sesamevale import __version__
from sesamevale import entry
from sesamevale import logs
from sesamevale import settings as checked_settings
from sesamevale.operators import document_files

__all__ = ["main"]

EXIT_INVALID_SETTINGS = 2
EXIT_START_FAILED = 3
GC_THRESHOLD_OBJECTS = 50_000

app = typer.Typer(add_completion=True, rich_markup_mode=None)


def _option(help_text: str, variable: str) -> typer.models.OptionInfo:
    return typer.Option(help=help_text, envvar=f"SESAMEVALE_{variable}")


@app.command()
def run(
    entry_id: Annotated[
        str, _option("Identifier, unique among all entries.", "ENTRY_ID")
    ] = "",
    data_center: Annotated[
        str, _option("Data centre that this VM is in.", "DATA_CENTER")
    ] = "",
    environment: Annotated[
        str, _option("Environment whose document to serve.", "ENVIRONMENT")
    ] = "",
    callers: Annotated[
        str, _option("IP-ADDRESS:PORT to listen on for callers.", "CALLERS")
    ] = "",
    peers_listen: Annotated[
        str,
        _option(
            "IP-ADDRESS:PORT to listen on for other entries.", "PEERS_LISTEN"
        ),
    ] = "",
    admin: Annotated[
        str, _option("IP-ADDRESS:PORT to listen on for operators.", "ADMIN")
    ] = "",
    platform: Annotated[
        str, _option("IP-ADDRESS:PORT of the key-value service.", "PLATFORM")
    ] = "",
    document: Annotated[
        str, _option("Document file to load if no platform is set.", "DOCUMENT")
    ] = "",
    seeds: Annotated[
        str,
        _option("IP-ADDRESS:PORT,... of entries to contact first.", "SEEDS"),
    ] = "",
    vm_prefix: Annotated[
        str, _option("Key prefix of the list of VMs.", "VM_PREFIX")
    ] = "",
    drain_seconds: Annotated[
        str, _option("Maximum time to drain, in seconds.", "DRAIN_SECONDS")
    ] = "",
    register_actions: Annotated[
        str, _option("Maximum number of actions kept.", "REGISTER_ACTIONS")
    ] = "",
    register_mebibytes: Annotated[
        str,
        _option("Maximum size of answers kept, in MiB.", "REGISTER_MEBIBYTES"),
    ] = "",
    trace_sample: Annotated[
        str, _option("Share of calls to trace, 0 to 1.", "TRACE_SAMPLE")
    ] = "",
    trace_export: Annotated[
        str, _option("Exporter of spans: none or console.", "TRACE_EXPORT")
    ] = "",
    log_level: Annotated[
        str,
        _option("Lowest level: debug, info, warning or error.", "LOG_LEVEL"),
    ] = "",
    log_format: Annotated[
        str, _option("Format of log lines: text or json.", "LOG_FORMAT")
    ] = "",
    version: Annotated[
        bool, typer.Option("--version", help="Print the version and exit.")
    ] = False,
) -> None:
    """Serves callers as one entry of a fleet.

    Each flag can be given as an environment variable: SESAMEVALE_ followed by
    its name in capitals.
    """
    given = dict(locals())
    if given.pop("version"):
        typer.echo(__version__)
        return
    values = {name: value for name, value in given.items() if value != ""}
    checked = checked_settings.check(values)
    if isinstance(checked, list):
        print(f"sesamevaled: {checked[0]}", file=sys.stderr)
        raise typer.Exit(EXIT_INVALID_SETTINGS)
    logs.configure(checked.entry_id, checked.log_level, checked.log_format)
    raise typer.Exit(asyncio.run(_serve(checked)))


def _reduce_gc_runs() -> None:
    """Makes garbage collection rare; calls leave no reference cycles."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS, 20, 20)


async def _serve(settings: checked_settings.Settings) -> int:
    """Runs an entry until SIGTERM, SIGINT or a broken invariant.

    Returns:
        The exit code.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    broken = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)

    def on_exception(
        loop: asyncio.AbstractEventLoop, context: dict[str, object]
    ) -> None:
        loop.default_exception_handler(context)
        if context["message"] == "broken invariant":
            broken.set()
            stop.set()

    loop.set_exception_handler(on_exception)
    entry.configure_tracing(settings)
    _reduce_gc_runs()
    try:
        async with entry.Entry(settings) as running:
            logging.info("serving callers on %s", settings.callers)
            await stop.wait()
            if broken.is_set():
                await running.end_calls()
                return 1
            logging.info("draining")
            await running.drain()
            logging.info("drained")
    except (OSError, document_files.DocumentError) as error:
        print(f"sesamevaled: {error}", file=sys.stderr)
        return EXIT_START_FAILED
    return 0


def main() -> None:
    """Runs the daemon's command line."""
    app()


if __name__ == "__main__":
    main()
