"""The forwarding of one service over real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random

import pytest

from sesamevale import calls
from sesamevale import event_log
from sesamevale import metrics
from sesamevale import outcomes
from sesamevale import routes
from sesamevale.forwarding import messages
from sesamevale.forwarding import service_task
from sesamevale.platform import header_fields
from sesamevale.policy import load_sampling
from sesamevale.policy import retry_budget
from tests.builders import gateway
from tests.standins import scripted_upstream
from tests.standins.scripted_upstream import ScriptedAnswer

CHARGE = gateway.route(
    name="charge", repeatable=False, timeout_s=2.0, objective_s=0.6
)
WIDE_BUDGET = retry_budget.RetryBudgetLimits(
    ratio=1.0, extra=100.0, window_s=10.0
)


class Case:
    def __init__(self, *upstreams, budget=WIDE_BUDGET, **placed):
        self.upstreams = upstreams
        self.budget = budget
        self.placed = placed
        self.misplaced: list[str] = []
        self.recorder = metrics.MetricsRecorder()

    async def __aenter__(self):
        self.stack = contextlib.AsyncExitStack()
        await self.stack.__aenter__()
        for each in self.upstreams:
            await self.stack.enter_async_context(each)
        sink = os.open(os.devnull, os.O_WRONLY)
        self.stack.callback(os.close, sink)
        self.task = service_task.ServiceTask(
            routes.Service("sheet", "/health", 100),
            load_sampling.LoadBalancer("here", random.Random(1)),
            retry_budget.RetryBudget(self.budget),
            header_fields.DIALECT,
            event_log.EventLog("e-1", sink),
            self.recorder,
            self.misplaced.append,
        )
        await self.stack.enter_async_context(self.task)
        self.task.send(
            messages.SetUpstreams(
                tuple(
                    gateway.upstream(
                        each.upstream_id,
                        port=each.port,
                        data_center=self.placed.get(
                            each.upstream_id.replace("-", "_"), "here"
                        ),
                    )
                    for each in self.upstreams
                )
            )
        )
        return self

    async def __aexit__(self, *exc_info):
        await self.stack.__aexit__(*exc_info)

    async def ask(self, request):
        """Returns status and body, or the outcome without an answer."""
        self.task.send(messages.Submit(request))
        async with asyncio.timeout(5):
            return await read_answer(request)


async def read_answer(request):
    first = await request.answer.get()
    if isinstance(first, calls.AnswerFailed):
        return first.outcome
    body = b""
    while True:
        message = await request.answer.get()
        if isinstance(message, calls.AnswerData):
            body += message.data
        elif isinstance(message, calls.AnswerEnd):
            return first.status, body
        else:
            return first.status, message.outcome


def run(scenario):
    asyncio.run(scenario())


def upstream(*steps, name="u-1", load="0,0,4,100"):
    return scripted_upstream.ScriptedUpstream(name, steps, load)


def test_an_answer_is_passed_on_whole():
    async def scenario():
        async with Case(upstream(ScriptedAnswer(body=b"sheet 7"))) as case:
            assert await case.ask(gateway.request()) == (200, b"sheet 7")

    run(scenario)


def test_the_upstream_learns_who_must_run_it_and_until_when():
    async def scenario():
        one = upstream()
        async with Case(one) as case:
            await case.ask(gateway.request(timeout_s=1.0))
            sent = dict(one.requests[0].headers)
            assert sent[b"x-expected-instance"] == b"u-1"
            assert 900 <= int(sent[b"x-deadline-ms"]) <= 1000
            assert sent[b"x-attempt-id"] == b"attempt-1"

    run(scenario)


def test_a_charge_that_was_cut_off_is_not_sent_again():
    async def scenario():
        one, two = (
            upstream(ScriptedAnswer(raw=b"", reset=True)),
            upstream(name="u-2"),
        )
        two.load = "0,0,4,900"
        async with Case(one, two) as case:
            outcome = await case.ask(gateway.request(CHARGE))
            assert isinstance(outcome, outcomes.Unknown)
            assert len(one.requests) + len(two.requests) == 1

    run(scenario)


def test_a_read_that_was_cut_off_is_sent_to_another_upstream():
    async def scenario():
        one, two = (
            upstream(ScriptedAnswer(raw=b"", reset=True)),
            upstream(name="u-2"),
        )
        two.load = "0,0,4,900"
        async with Case(one, two) as case:
            assert await case.ask(gateway.request()) == (200, b"done")
            assert (len(one.requests), len(two.requests)) == (1, 1)

    run(scenario)


def test_a_rejected_charge_goes_to_another_upstream():
    async def scenario():
        one = upstream(scripted_upstream.rejection())
        two = upstream(name="u-2", load="0,0,4,900")
        async with Case(one, two) as case:
            assert await case.ask(gateway.request(CHARGE)) == (200, b"done")

    run(scenario)


def test_a_charge_that_all_reject_has_not_run():
    async def scenario():
        one = upstream(scripted_upstream.rejection())
        two = upstream(scripted_upstream.rejection(), name="u-2")
        async with Case(one, two) as case:
            outcome = await case.ask(gateway.request(CHARGE))
            assert isinstance(outcome, outcomes.NotRun)

    run(scenario)


def test_no_more_upstreams_than_the_route_allows():
    async def scenario():
        many = [
            upstream(scripted_upstream.rejection(), name=f"u-{number}")
            for number in range(4)
        ]
        async with Case(*many) as case:
            await case.ask(gateway.request(gateway.route(upstreams_max=2)))
            assert sum(len(each.requests) for each in many) == 2

    run(scenario)


def test_a_retry_waits_for_the_budget():
    async def scenario():
        one = upstream(scripted_upstream.rejection())
        two = upstream(name="u-2", load="0,0,4,900")
        empty = retry_budget.RetryBudgetLimits(0.0, 0.0, 10.0)
        async with Case(one, two, budget=empty) as case:
            outcome = await case.ask(gateway.request())
            assert isinstance(outcome, outcomes.NotRun)
            assert not two.requests

    run(scenario)


@pytest.mark.parametrize(
    "step",
    [
        ScriptedAnswer(signed=False),
        ScriptedAnswer(headers=(("content-encoding", "gzip"),)),
        ScriptedAnswer(
            raw=b"HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\n"
            b"X-Response-Signature: s\r\nContent-Length: 9\r\n\r\nhalf",
            close=True,
        ),
        ScriptedAnswer(raw=b"neither head nor tail\r\n\r\n", close=True),
        ScriptedAnswer(
            raw=b"HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\n"
            b"X-Response-Signature: s\r\n\r\nno length, then reset",
            reset=True,
        ),
    ],
    ids=["unsigned", "encoded", "short", "noise", "reset"],
)
def test_a_spoilt_answer_is_never_passed_on(step):
    async def scenario():
        async with Case(upstream(step)) as case:
            outcome = await case.ask(gateway.request(CHARGE))
            assert isinstance(outcome, outcomes.Unknown)

    run(scenario)


def test_an_answer_that_ends_with_its_connection_is_whole():
    async def scenario():
        raw = (
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\n"
            b"X-Response-Signature: s\r\n\r\nall of it"
        )
        async with Case(upstream(ScriptedAnswer(raw=raw, close=True))) as case:
            assert await case.ask(gateway.request()) == (200, b"all of it")

    run(scenario)


def test_an_answer_to_another_request_is_passed_over():
    async def scenario():
        stray = (
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n"
            b"X-Response-Signature: s\r\nContent-Length: 5\r\n\r\nwrong"
        )
        own = stray.replace(b"other", b"attempt-1").replace(b"wrong", b"right")
        async with Case(upstream(ScriptedAnswer(raw=stray + own))) as case:
            found = await case.ask(gateway.request(CHARGE))
            assert found == (200, b"right")

    run(scenario)


def test_a_second_answer_is_not_taken_for_the_next_request():
    async def scenario():
        second = (
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\n"
            b"X-Response-Signature: s\r\nContent-Length: 3\r\n\r\nold"
        )
        one = upstream(
            ScriptedAnswer(trailing_bytes=second), ScriptedAnswer(body=b"new")
        )
        async with Case(one) as case:
            await case.ask(gateway.request())
            later = gateway.request(
                request_id=b"attempt-2",
                headers=((b"host", b"a"), (b"x-attempt-id", b"attempt-2")),
            )
            assert await case.ask(later) == (200, b"new")

    run(scenario)


def test_a_read_that_nobody_waits_for_is_cancelled_at_the_upstream():
    async def scenario():
        one = upstream(ScriptedAnswer(delay_s=3.0))
        async with Case(one) as case:
            request = gateway.request()
            case.task.send(messages.Submit(request))
            await asyncio.sleep(0.1)
            case.task.send(messages.CallerGone(request.number))
            await asyncio.sleep(0.1)
            assert one.abandoned_requests == 1
            assert case.task.active == 0

    run(scenario)


def test_a_charge_that_nobody_waits_for_is_left_to_end():
    async def scenario():
        one = upstream(ScriptedAnswer(delay_s=0.3))
        async with Case(one) as case:
            request = gateway.request(CHARGE)
            case.task.send(messages.Submit(request))
            await asyncio.sleep(0.1)
            case.task.send(messages.CallerGone(request.number))
            await asyncio.sleep(0.4)
            assert one.abandoned_requests == 0
            assert case.task.active == 0

    run(scenario)


def test_a_charge_in_time_out_may_have_run():
    async def scenario():
        async with Case(upstream(ScriptedAnswer(delay_s=2.0))) as case:
            outcome = await case.ask(gateway.request(CHARGE, timeout_s=0.2))
            assert outcome == outcomes.Unknown(outcomes.Reason.DEADLINE)

    run(scenario)


def test_an_answer_that_is_there_at_the_deadline_is_delivered():
    """The deadline's message comes between the answer and its result."""

    async def scenario():
        one = upstream(ScriptedAnswer(body=b"charged"))
        async with Case(one) as case:
            request = gateway.request(CHARGE)
            task = case.task
            deliver = task._inbox.put

            def put_deadline_first(message):
                if isinstance(message, messages.AttemptEnded):
                    deliver(messages.DeadlineExpired(request.number))
                deliver(message)

            task.send = put_deadline_first
            task.send(messages.Submit(request))
            assert await read_answer(request) == (200, b"charged")

    run(scenario)


def test_the_calmer_upstream_is_taken():
    async def scenario():
        calm, noisy = upstream(), upstream(name="u-2", load="0,0,4,500")
        async with Case(noisy, calm) as case:
            for _ in range(5):
                await case.ask(gateway.request())
                await asyncio.sleep(0.03)
            assert (len(calm.requests), len(noisy.requests)) == (5, 0)

    run(scenario)


def test_another_data_centre_is_taken_when_this_one_stays_noisy():
    async def scenario():
        far = upstream(name="u-2")
        async with Case(upstream(load="0,0,4,900"), far, u_2="there") as case:
            await case.ask(gateway.request())
            assert len(far.requests) == 1

    run(scenario)


def test_no_sample_leaves_a_calm_data_centre():
    async def scenario():
        far = upstream(name="u-2")
        async with Case(upstream(), far, u_2="there") as case:
            await case.ask(gateway.request())
            assert far.health_requests == 0

    run(scenario)


def test_full_upstreams_get_nothing_and_the_caller_is_told():
    async def scenario():
        full = upstream(load="4,3,4,100")
        async with Case(full) as case:
            outcome = await case.ask(gateway.request())
            assert outcome == outcomes.NotRun(outcomes.Reason.OVERLOADED)
            assert not full.requests

    run(scenario)


def test_an_upstream_that_reports_no_load_is_used_without_samples():
    async def scenario():
        one = upstream(load="")
        async with Case(one) as case:
            for _ in range(4):
                assert await case.ask(gateway.request()) == (200, b"done")
            assert one.health_requests <= 1

    run(scenario)


def test_an_address_that_answers_for_another_upstream_is_reported():
    async def scenario():
        step = scripted_upstream.rejection(421)
        one = upstream(step)
        async with Case(one) as case:
            record = gateway.upstream("u-9", port=one.port)
            case.task.send(messages.SetUpstreams((record,)))
            outcome = await case.ask(gateway.request(CHARGE))
            assert isinstance(outcome, outcomes.NotRun)
            assert case.misplaced == ["u-9"]

    run(scenario)


def test_an_upstream_that_nobody_listens_at_costs_no_budget():
    async def scenario():
        one = upstream()
        none = retry_budget.RetryBudgetLimits(0.0, 0.0, 10.0)
        async with Case(one, budget=none) as case:
            records = (
                gateway.upstream("u-1", port=one.port, data_center="there"),
                gateway.upstream("u-2", port=1),
            )
            case.task.send(messages.SetUpstreams(records))
            assert await case.ask(gateway.request()) == (200, b"done")

    run(scenario)


def test_a_long_answer_is_passed_on_as_it_comes():
    async def scenario():
        body = b"x" * 3_000_000
        async with Case(upstream(ScriptedAnswer(body=body))) as case:
            assert await case.ask(gateway.request()) == (200, body)

    run(scenario)


def test_an_entry_keeps_to_its_share_of_an_upstreams_connections():
    async def scenario():
        steps = [ScriptedAnswer(delay_s=0.05)] * 16
        async with Case(upstream(*steps, load="0,0,20,100")) as case:
            asked = [case.ask(gateway.request()) for _ in range(8)]
            await asyncio.gather(*asked)
            assert case.task._pool.count_open_links("u-1") > 1
            case.task.send(messages.SetEntryCount(50))
            asked = [case.ask(gateway.request()) for _ in range(8)]
            await asyncio.gather(*asked)
            assert case.task._pool.count_open_links("u-1") == 1

    run(scenario)
