"""Exit codes, output and connections that subcommands share."""

from __future__ import annotations

import asyncio
import enum
import json
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Annotated
from typing import Any
from typing import NoReturn
from typing import TypeVar

import typer

from sesamevale import document_models
from sesamevale import settings
from sesamevale.etcd import client
from sesamevale.etcd import store
from sesamevale.operators import admin_client
from sesamevale.operators import document_files
from sesamevale.policy.configuration import differences
from sesamevale.policy.configuration import document_follower

__all__ = [
    "AdminOption",
    "EnvironmentOption",
    "ExitCode",
    "JsonOption",
    "PlatformOption",
    "changes_between",
    "content_of",
    "decode_parts",
    "endpoint",
    "exit_unreachable",
    "fail",
    "load_or_exit",
    "print_json",
    "read_document",
    "read_status",
    "run_with_store",
]

Result = TypeVar("Result")


class ExitCode(enum.IntEnum):
    """Exit codes of the command line.

    Attributes:
        OK: Success.
        FAULTS: A file has faults, or an argument names something that does
            not exist.
        USAGE: A flag has a malformed value.
        UNREACHABLE: The platform or the entry does not answer.
        CONFLICT: Another revision than the base is in force.
        UNDECIDED: It is unknown whether a change was accepted.
    """

    OK = 0
    FAULTS = 1
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4
    UNDECIDED = 5


JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]
PlatformOption = Annotated[
    str,
    typer.Option(
        help="IP-ADDRESS:PORT of the key-value service.",
        envvar="SESAMEVALE_PLATFORM",
    ),
]
AdminOption = Annotated[
    str,
    typer.Option(
        help="IP-ADDRESS:PORT of the admin pages of one entry.",
        envvar="SESAMEVALE_ADMIN",
    ),
]
EnvironmentOption = Annotated[
    str,
    typer.Option(help="Environment.", envvar="SESAMEVALE_ENVIRONMENT"),
]


def fail(code: ExitCode, message: str) -> NoReturn:
    """Prints one line to standard error and exits."""
    typer.echo(f"sesamevale: {message}", err=True)
    raise typer.Exit(code)


def print_json(content: Any) -> None:
    """Prints a value as JSON."""
    typer.echo(json.dumps(content, indent=2, sort_keys=True))


def endpoint(flag: str, text: str) -> settings.Endpoint:
    """Parses an address, or exits with a message that names the flag."""
    try:
        return settings.Endpoint.parse(text)
    except ValueError as error:
        fail(ExitCode.USAGE, f"{flag}: {error} (found {text!r})")


def load_or_exit(path: str) -> document_models.DocumentModel:
    """Loads a document file, or prints all its faults and exits."""
    loaded = document_files.load(path)
    if isinstance(loaded, document_models.DocumentModel):
        return loaded
    for fault in loaded:
        typer.echo(str(fault), err=True)
    raise typer.Exit(ExitCode.FAULTS)


def run_with_store(
    platform: str,
    environment: str,
    work: Callable[[store.DocumentStore], Awaitable[Result]],
) -> Result:
    """Runs a function with the document store of an environment."""
    address = endpoint("--platform", platform)

    async def run() -> Result:
        server = client.Address(address.host, address.port)
        async with client.KeyValueClient(server, lambda *_: None) as kv_client:
            return await work(store.DocumentStore(kv_client, environment))

    return asyncio.run(run())


def exit_unreachable() -> NoReturn:
    """Exits because the platform gave no usable answer."""
    fail(ExitCode.UNREACHABLE, "the platform cannot be reached")


async def read_document(
    documents: store.DocumentStore, manifest: document_follower.Manifest | None
) -> dict[str, Any]:
    """Returns a document's content by part; empty without a manifest.

    Parts that the store lacks are left out. Exits if the platform gives no
    usable answer.
    """
    if manifest is None:
        return {}
    contents = await documents.parts(manifest.digests)
    if isinstance(contents, client.Unavailable):
        exit_unreachable()
    return {
        name: json.loads(contents[digest])
        for name, digest in manifest.parts
        if digest in contents
    }


def changes_between(
    before: dict[str, Any], after: dict[str, Any]
) -> list[differences.Change]:
    """Lists the changes between two documents by part."""
    return differences.compare(before, after)


def content_of(model: document_models.DocumentModel) -> dict[str, Any]:
    """Returns the content of a document file by part."""
    return decode_parts(document_models.to_parts(model))


def read_status(admin: str) -> dict[str, Any]:
    """Returns the status of the entry with an admin address, or exits."""
    address = endpoint("--admin", admin)
    status = asyncio.run(admin_client.fetch_status(address.host, address.port))
    if status is None:
        fail(ExitCode.UNREACHABLE, f"no entry answers on {admin}")
    return status


def decode_parts(parts: dict[str, bytes]) -> dict[str, Any]:
    """Returns the decoded content of stored parts."""
    return {name: json.loads(content) for name, content in parts.items()}
