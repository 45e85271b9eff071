"""Steps that run the command line and the daemon."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile

from behave import given
from behave import then
from behave import when

from tests.builders import documents
from tests.builders import fleet
from tests.builders import loopback

VALID_FLAGS = {
    "--entry-id": "e1",
    "--data-center": "taff",
    "--environment": "test",
    "--callers": "127.0.0.1:7001",
    "--peers-listen": "127.0.0.1:7002",
    "--admin": "127.0.0.1:7003",
    "--platform": "127.0.0.1:7004",
}
DOCUMENT = "examples/pritchard.toml"
TIMEOUT_S = 60


def run(context, module: str, *arguments: str) -> None:
    environment = dict(os.environ, PYTHONPATH=f"{fleet.ROOT}/src:{fleet.ROOT}")
    context.command = subprocess.run(
        [sys.executable, "-m", module, *arguments],
        cwd=fleet.ROOT,
        env=environment,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )


def run_command_line(context, *arguments: str) -> None:
    run(context, "sesamevale.operators.command_line", *arguments)


@given("a platform")
def given_platform(context):
    context.run(context.fleet.start_platform())
    context.platform = f"--platform={fleet.HOST}:{context.fleet.platform_port}"


@when("the document file is submitted with base {base:d}")
def submit(context, base):
    run_command_line(
        context, "submit", DOCUMENT, f"--base={base}", context.platform
    )


@then("the command ends with code {code:d}")
def command_ends(context, code):
    command = context.command
    assert command.returncode == code, (command.stdout, command.stderr)


@then("the output names the revision in force")
def names_revision(context):
    assert "is in force, not 0" in context.command.stderr


@when("the document is promoted to production")
def promote(context):
    environment = "pritchard"
    run_command_line(
        context,
        "history",
        f"--environment={environment}",
        context.platform,
        "--json",
    )
    revision = json.loads(context.command.stdout)[-1]["revision"]
    run_command_line(
        context,
        "promote",
        environment,
        "production",
        f"--revision={revision}",
        "--base=0",
        context.platform,
    )


@when("the history of production is listed")
def list_history(context):
    run_command_line(
        context,
        "history",
        "--environment=production",
        context.platform,
        "--json",
    )


@then("the history has {count:d} change")
def history_has(context, count):
    assert len(json.loads(context.command.stdout)) == count


@when("the {command} command is run against {name:S}")
def run_admin_command(context, command, name):
    port = context.fleet.entries[name].admin_port
    admin = f"--admin={fleet.HOST}:{port}"
    run_command_line(context, command, admin, "--json")


@then("the output lists {count:d} entries that are alive")
def shows_entries(context, count):
    members = json.loads(context.command.stdout)["members"]
    alive = [each for each in members if each["status"] == "alive"]
    assert len(alive) == count, members


@then("the output lists {count:d} upstreams")
def shows_upstreams(context, count):
    found = json.loads(context.command.stdout)
    assert sum(len(each) for each in found.values()) == count


@given("an entry that reads a document file")
def entry_with_file(context):
    context.run(start_with_file(context))


async def start_with_file(context) -> None:
    ports = loopback.free_ports(2)
    await context.fleet.start_upstreams(ports, 2, 5.0)
    lines = ['environment = "test"', "[services.till]"]
    for port in ports:
        lines.append("[[services.till.upstreams]]")
        upstream = documents.upstream(f"u{port}", port, 2)
        lines += [f"{key} = {json.dumps(v)}" for key, v in upstream.items()]
    lines.append("[[services.till.rules]]")
    rule = documents.read_rule("till")
    lines += [f"{key} = {json.dumps(value)}" for key, value in rule.items()]
    with tempfile.NamedTemporaryFile("w", suffix=".toml", delete=False) as file:
        file.write("\n".join(lines) + "\n")
    context.fleet.start_entry("solo", "test", extra=[f"--document={file.name}"])
    await context.fleet.wait_ready()
    os.unlink(file.name)


@then("the log of {name:S} reports that there is no platform")
def log_reports_no_platform(context, name):
    assert "no platform" in context.fleet.entries[name].output()


@when("the daemon is started with {flag}")
def start_daemon(context, flag):
    name, _, value = flag.partition("=")
    flags = VALID_FLAGS | {name: value}
    arguments = [f"{key}={each}" for key, each in flags.items()]
    run(context, "sesamevale.daemon", *arguments)


@then("the output is one line that names {name:S}")
def one_line(context, name):
    lines = context.command.stderr.strip().splitlines()
    assert len(lines) == 1, lines
    assert name in lines[0]
