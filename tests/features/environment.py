"""Behave hooks: an event loop for the run and a fleet for each scenario."""

from __future__ import annotations

import asyncio
import contextlib

from tests.builders import fleet


def before_all(context):
    context.runner = asyncio.Runner()
    context.run = context.runner.run


def after_all(context):
    context.runner.close()


def before_scenario(context, scenario):
    context.stack = contextlib.AsyncExitStack()
    context.fleet = context.run(
        context.stack.enter_async_context(fleet.Fleet())
    )
    context.answers = []
    context.identity = ""


def after_scenario(context, scenario):
    if scenario.status.name == "failed":
        for entry in context.fleet.entries.values():
            print(f"--- {entry.entry_id}\n{entry.output()[-1500:]}")
    context.run(context.stack.aclose())
