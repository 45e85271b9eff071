"""Steps that submit documents and check the platform's revision."""

from __future__ import annotations

import asyncio

from behave import step
from behave import then
from behave import when

from sesamevale import document_models
from sesamevale.etcd import client
from sesamevale.etcd import store
from tests.builders import fleet
from tests.features.steps import fleet_steps


async def with_store(context, work):
    address = client.Address(fleet.HOST, context.fleet.platform_port)
    async with client.KeyValueClient(address, lambda *_: None) as kv_client:
        return await work(store.DocumentStore(kv_client, "test"))


async def submit(context, **settings):
    model = fleet_steps.build_document(context, **settings)
    return await context.fleet.submit(model)


@step("a change is accepted")
def change_accepted(context):
    outcome = context.run(submit(context, retry_budget=3))
    assert isinstance(outcome, store.Accepted), outcome
    context.revision = outcome.manifest.revision


@when("a change without one upstream of {service:S} is accepted")
def change_without_upstream(context, service):
    ports = context.ports
    context.ports = ports | {service: ports[service][1:]}
    change_accepted(context)
    context.ports = ports


@then("a submission cannot reach the platform")
def submission_fails(context):
    async def work() -> object:
        return await with_store(context, lambda documents: documents.head())

    assert isinstance(context.run(work()), client.Unavailable)


@when("two operators submit changes based on the same revision")
def two_operators(context):
    async def submit_change(documents, head, retries: int):
        model = fleet_steps.build_document(context, retry_budget=retries)
        parts = document_models.to_parts(model)
        return await documents.submit(parts, head, f"operator-{retries}")

    async def race(documents):
        head = await documents.head()
        return await asyncio.gather(
            submit_change(documents, head, 1),
            submit_change(documents, head, 3),
        )

    context.outcomes = context.run(with_store(context, race))


@then("one change is accepted and the other is a conflict")
def one_accepted(context):
    kinds = sorted(type(each).__name__ for each in context.outcomes)
    assert kinds == ["Accepted", "Conflict"], kinds
    for outcome in context.outcomes:
        if isinstance(outcome, store.Accepted):
            context.revision = outcome.manifest.revision
    for outcome in context.outcomes:
        if isinstance(outcome, store.Conflict):
            assert outcome.head.revision == context.revision


@then("the platform has the last accepted revision")
def platform_has_revision(context):
    async def restored() -> bool:
        head = await with_store(context, lambda documents: documents.head())
        assert isinstance(head, store.Head)
        return head.revision == context.revision

    context.run(fleet.wait_until(restored, 20.0))
