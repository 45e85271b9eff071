"""Steps that make calls and check their answers."""

from __future__ import annotations

import asyncio
import collections
import json
import uuid

from behave import given
from behave import step
from behave import then
from behave import when

from tests.builders import fleet
from tests.builders import raw_http


async def call(context, name, method, path, headers=None, body=b""):
    async with context.fleet.client(name) as client:
        answer = await client.call(method, path, headers, body)
    context.answers.append(answer)
    return answer


@when("{method} {path} is called through {name:S}")
def when_called(context, method, path, name):
    context.run(call(context, name, method, path))


@then("the answer has status {status:d}")
def answer_status(context, status):
    answer = context.answers[-1]
    assert answer is not None, "no answer"
    assert answer.status == status, (answer.status, answer.body)


@then("the answer has outcome {outcome:S} and reason {reason:S}")
def answer_has_outcome_and_reason(context, outcome, reason):
    answer = context.answers[-1]
    assert answer is not None, "no answer"
    found = json.loads(answer.body)
    assert found == {"outcome": outcome, "reason": reason}, found
    assert answer.headers["sesamevale-outcome"] == outcome
    assert reason in answer.headers["proxy-status"]


@then("the answer has outcome {outcome:S}")
def answer_outcome(context, outcome):
    answer = context.answers[-1]
    assert answer is not None, "no answer"
    found = answer.headers.get("sesamevale-outcome")
    assert found == outcome, (answer.status, answer.body)


@then("the answer has a content-length and no body")
def head_answer(context):
    answer = context.answers[-1]
    assert answer.body == b""
    assert int(answer.headers["content-length"]) > 0


@then("{count:d} concurrent calls through all entries get their own answers")
def own_answers(context, count):
    async def call_once(name: str, number: int) -> None:
        request = f"{number}-{uuid.uuid4().hex}"
        answer = await call(
            context, name, "GET", "/till/x", {"x-request": request}
        )
        assert answer is not None and answer.status == 200, answer
        assert json.loads(answer.body)["request"] == request

    async def run() -> None:
        names = list(context.fleet.entries)
        calls = [call_once(names[n % len(names)], n) for n in range(count)]
        await asyncio.gather(*calls)

    context.run(run())


@when("a body of {size:d} bytes is sent {transfer} through {name:S}")
def send_body(context, size, transfer, name):
    port = context.fleet.entries[name].caller_port
    identity = context.run(new_identity(context, name))
    context.answers.append(
        context.run(raw_http.post(port, "/till/x", size, transfer, identity))
    )


@then("the upstream has received {size:d} bytes")
def upstream_received(context, size):
    answer = context.answers[-1]
    assert json.loads(answer.body)["bytes"] == size, answer.body


@when("an answer of {size:d} bytes is asked for through {name:S}")
def large_answer(context, size, name):
    path = f"/roundsheet/x?size={size}"
    context.run(call(context, name, "GET", path))


@then("the answer has a complete body of {size:d} bytes")
def answer_whole(context, size):
    answer = context.answers[-1]
    assert answer is not None and len(answer.body) == size


@then("the caller gets no complete answer")
def no_whole_answer(context):
    assert context.answers[-1] is None


@when("the bytes {text} are sent to {name:S}")
def send_bytes(context, text, name):
    port = context.fleet.entries[name].caller_port
    data = json.loads(f'"{text}"').encode()
    context.raw = context.run(raw_http.send(port, data))


@then("the connection is closed after status {status:d}")
def closed_after(context, status):
    assert context.raw.startswith(f"HTTP/1.1 {status} ".encode()), context.raw


@then("no upstream has been called")
def no_upstream_called(context):
    async def check() -> None:
        for ports in context.ports.values():
            for port in ports:
                assert (await fleet.stats(port))["calls"] == 0

    context.run(check())


async def new_identity(context, name: str) -> str:
    async with context.fleet.client(name) as client:
        ticket = await fleet.ticket(client, "till")
    return f"{ticket}~{uuid.uuid4().hex}"


@given("an action with a ticket of {name:S}")
def given_action(context, name):
    context.identity = context.run(new_identity(context, name))


async def send_action(context, name: str, timeout_s: float = 30.0):
    headers = {
        "idempotency-key": context.identity,
        "x-action": context.identity,
    }
    async with context.fleet.client(name, timeout_s) as client:
        answer = await client.call("POST", "/till/charge", headers, b"1 EUR")
    context.answers.append(answer)


@step("the action is sent through {name:S}")
def action_sent(context, name):
    context.run(send_action(context, name))


@step("the action is sent through {name:S} in the background")
def action_sent_in_background(context, name):
    async def start():
        task = asyncio.ensure_future(send_action(context, name))
        await asyncio.sleep(0.3)
        return task

    context.background = context.run(start())


@step("the background call has ended")
def background_ended(context):
    async def wait() -> None:
        await context.background

    context.run(wait())


@then("the action has run {count:d} times")
@then("the action has run {count:d} time")
def action_runs(context, count):
    runs = context.run(count_runs(context))
    assert runs[context.identity] == count, runs


@then("the action has run at most once")
def action_runs_at_most_once(context):
    assert context.run(count_runs(context))[context.identity] <= 1


async def count_runs(context) -> collections.Counter:
    runs: collections.Counter = collections.Counter()
    for port in context.ports["till"]:
        runs.update(await fleet.stats(port, "/_runs"))
    return runs


@then("all answers have the same body")
def same_answers(context):
    bodies = {answer.body for answer in context.answers if answer}
    assert len(bodies) == 1, bodies


@then("the next {count:d} calls of {path} through {name:S} are answered")
def next_calls(context, count, path, name):
    async def run() -> None:
        for _ in range(count):
            answer = await call(context, name, "GET", path)
            assert answer is not None and answer.status == 200, answer

    context.run(run())


@then("eventually {path} is answered through {name:S}")
def eventually_answered(context, path, name):
    async def answered() -> bool:
        answer = await call(context, name, "GET", path)
        return answer is not None and answer.status == 200

    context.run(fleet.wait_until(answered, 20.0))


@when("a head of {size:d} bytes is sent to {name:S}")
def send_large_head(context, size, name):
    port = context.fleet.entries[name].caller_port
    data = b"GET /till/x HTTP/1.1\r\nhost: x\r\nx-long: " + b"a" * size
    context.raw = context.run(raw_http.send(port, data))


@then("the connection after the first {count:d} is refused by {name:S}")
def connection_refused(context, count, name):
    port = context.fleet.entries[name].caller_port

    async def check() -> None:
        opened = [
            await asyncio.open_connection(raw_http.HOST, port)
            for _ in range(count)
        ]
        await asyncio.sleep(0.1)
        assert await raw_http.send(port, b"GET / HTTP/1.1\r\n\r\n") == b""
        for _, writer in opened:
            writer.close()

    context.run(check())
