"""Tests of the task that forwards requests of one service, over sockets."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import time

import pytest

from sesamevale import calls
from sesamevale import event_log
from sesamevale import metrics
from sesamevale import outcomes
from sesamevale import routes
from sesamevale.forwarding import messages
from sesamevale.forwarding import service_task
from sesamevale.platform import header_fields
from sesamevale.policy.admission import drain_schedule
from sesamevale.policy.admission import retry_budget
from sesamevale.policy.balancing import load_sampling
from tests.builders import gateway
from tests.standins import scripted_upstream
from tests.standins.scripted_upstream import ScriptedAnswer

CHARGE = gateway.route(
    name="charge", repeatable=False, timeout_s=2.0, objective_s=0.6
)
WIDE_BUDGET = retry_budget.RetryBudgetLimits(
    ratio=1.0, extra=100.0, window_s=10.0
)


class Harness:
    def __init__(self, *upstreams, budget=WIDE_BUDGET, **data_centers):
        self.upstreams = upstreams
        self.budget = budget
        self.data_centers = data_centers
        self.misplaced: list[str] = []
        self.recorder = metrics.MetricsRecorder()
        self.records = ()
        self.tell = lambda suspicions: None

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
            lambda suspicions: self.tell(suspicions),
        )
        await self.stack.enter_async_context(self.task)
        self.records = self.records or tuple(
            gateway.upstream(
                each.upstream_id,
                port=each.port,
                data_center=self.data_centers.get(
                    each.upstream_id.replace("-", "_"), "here"
                ),
            )
            for each in self.upstreams
        )
        self.task.send(messages.SetUpstreams(self.records))
        return self

    async def __aexit__(self, *exc_info):
        await self.stack.__aexit__(*exc_info)

    async def submit(self, request):
        """Returns the status and body, or the outcome if there is no answer."""
        self.task.send(messages.Submit(request))
        async with asyncio.timeout(5):
            return await read_answer(request)


async def read_answer(request):
    head = await request.answer.get()
    if isinstance(head, calls.AnswerFailed):
        return head.outcome
    body = b""
    while True:
        message = await request.answer.get()
        if isinstance(message, calls.AnswerData):
            body += message.data
        elif isinstance(message, calls.AnswerEnd):
            return head.status, body
        else:
            return head.status, message.outcome


def run(scenario):
    asyncio.run(scenario())


def upstream(*steps, name="u-1", load="0,0,4,100"):
    return scripted_upstream.ScriptedUpstream(name, steps, load)


def test_an_answer_is_forwarded_completely():
    async def scenario():
        async with Harness(
            upstream(ScriptedAnswer(body=b"sheet 7"))
        ) as harness:
            assert await harness.submit(gateway.request()) == (200, b"sheet 7")

    run(scenario)


def test_the_upstream_receives_its_identifier_and_the_deadline():
    async def scenario():
        one = upstream()
        async with Harness(one) as harness:
            await harness.submit(gateway.request(timeout_s=1.0))
            sent = dict(one.requests[0].headers)
            assert sent[b"x-expected-instance"] == b"u-1"
            assert 900 <= int(sent[b"x-deadline-ms"]) <= 1000
            assert sent[b"x-attempt-id"] == b"attempt-1"

    run(scenario)


def test_a_charge_whose_answer_is_cut_off_is_not_sent_again():
    async def scenario():
        one, two = (
            upstream(ScriptedAnswer(raw=b"", reset=True)),
            upstream(name="u-2"),
        )
        two.load = "0,0,4,900"
        async with Harness(one, two) as harness:
            outcome = await harness.submit(gateway.request(CHARGE))
            assert isinstance(outcome, outcomes.Unknown)
            assert len(one.requests) + len(two.requests) == 1

    run(scenario)


def test_a_read_whose_answer_is_cut_off_is_sent_to_another_upstream():
    async def scenario():
        one, two = (
            upstream(ScriptedAnswer(raw=b"", reset=True)),
            upstream(name="u-2"),
        )
        two.load = "0,0,4,900"
        async with Harness(one, two) as harness:
            assert await harness.submit(gateway.request()) == (200, b"done")
            assert (len(one.requests), len(two.requests)) == (1, 1)

    run(scenario)


def test_a_rejected_charge_goes_to_another_upstream():
    async def scenario():
        one = upstream(scripted_upstream.rejection())
        two = upstream(name="u-2", load="0,0,4,900")
        async with Harness(one, two) as harness:
            assert await harness.submit(gateway.request(CHARGE)) == (
                200,
                b"done",
            )

    run(scenario)


def test_a_charge_that_all_upstreams_reject_has_not_run():
    async def scenario():
        one = upstream(scripted_upstream.rejection())
        two = upstream(scripted_upstream.rejection(), name="u-2")
        async with Harness(one, two) as harness:
            outcome = await harness.submit(gateway.request(CHARGE))
            assert isinstance(outcome, outcomes.NotRun)

    run(scenario)


def test_no_more_upstreams_are_tried_than_the_route_allows():
    async def scenario():
        upstreams = [
            upstream(scripted_upstream.rejection(), name=f"u-{number}")
            for number in range(4)
        ]
        async with Harness(*upstreams) as harness:
            await harness.submit(
                gateway.request(gateway.route(upstreams_max=2))
            )
            assert sum(len(each.requests) for each in upstreams) == 2

    run(scenario)


def test_a_retry_beyond_the_budget_is_not_sent():
    async def scenario():
        one = upstream(scripted_upstream.rejection())
        two = upstream(name="u-2", load="0,0,4,900")
        empty = retry_budget.RetryBudgetLimits(0.0, 0.0, 10.0)
        async with Harness(one, two, budget=empty) as harness:
            outcome = await harness.submit(gateway.request())
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
        async with Harness(upstream(step)) as harness:
            outcome = await harness.submit(gateway.request(CHARGE))
            assert isinstance(outcome, outcomes.Unknown)

    run(scenario)


def test_an_answer_that_ends_with_its_connection_is_complete():
    async def scenario():
        raw = (
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\n"
            b"X-Response-Signature: s\r\n\r\nall of it"
        )
        async with Harness(
            upstream(ScriptedAnswer(raw=raw, close=True))
        ) as harness:
            assert await harness.submit(gateway.request()) == (
                200,
                b"all of it",
            )

    run(scenario)


def test_an_answer_to_another_request_is_skipped():
    async def scenario():
        stray = (
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n"
            b"X-Response-Signature: s\r\nContent-Length: 5\r\n\r\nwrong"
        )
        own = stray.replace(b"other", b"attempt-1").replace(b"wrong", b"right")
        async with Harness(
            upstream(ScriptedAnswer(raw=stray + own))
        ) as harness:
            found = await harness.submit(gateway.request(CHARGE))
            assert found == (200, b"right")

    run(scenario)


def test_an_extra_answer_is_not_used_for_the_next_request():
    async def scenario():
        second = (
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\n"
            b"X-Response-Signature: s\r\nContent-Length: 3\r\n\r\nold"
        )
        one = upstream(
            ScriptedAnswer(trailing_bytes=second), ScriptedAnswer(body=b"new")
        )
        async with Harness(one) as harness:
            await harness.submit(gateway.request())
            later = gateway.request(
                request_id=b"attempt-2",
                headers=((b"host", b"a"), (b"x-attempt-id", b"attempt-2")),
            )
            assert await harness.submit(later) == (200, b"new")

    run(scenario)


def test_an_abandoned_read_is_cancelled_at_the_upstream():
    async def scenario():
        one = upstream(ScriptedAnswer(delay_s=3.0))
        async with Harness(one) as harness:
            request = gateway.request()
            harness.task.send(messages.Submit(request))
            await asyncio.sleep(0.1)
            harness.task.send(messages.CallerGone(request.number))
            await asyncio.sleep(0.1)
            assert one.abandoned_requests == 1
            assert harness.task.active_count == 0

    run(scenario)


def test_an_abandoned_charge_is_not_cancelled():
    async def scenario():
        one = upstream(ScriptedAnswer(delay_s=0.3))
        async with Harness(one) as harness:
            request = gateway.request(CHARGE)
            harness.task.send(messages.Submit(request))
            await asyncio.sleep(0.1)
            harness.task.send(messages.CallerGone(request.number))
            await asyncio.sleep(0.4)
            assert one.abandoned_requests == 0
            assert harness.task.active_count == 0

    run(scenario)


def test_a_charge_that_times_out_may_have_run():
    async def scenario():
        async with Harness(upstream(ScriptedAnswer(delay_s=2.0))) as harness:
            outcome = await harness.submit(
                gateway.request(CHARGE, timeout_s=0.2)
            )
            assert outcome == outcomes.Unknown(outcomes.Reason.DEADLINE)

    run(scenario)


def test_an_answer_that_is_there_at_the_deadline_is_delivered():
    """The deadline expires between reading the answer and handling it."""

    async def scenario():
        one = upstream(ScriptedAnswer(body=b"charged"))
        async with Harness(one) as harness:
            request = gateway.request(CHARGE)
            task = harness.task
            put = task._inbox.put

            def put_deadline_first(message):
                if isinstance(message, messages.AttemptEnded):
                    put(messages.DeadlineExpired(request.number))
                put(message)

            task._flow.runner._send = put_deadline_first
            task.send(messages.Submit(request))
            assert await read_answer(request) == (200, b"charged")

    run(scenario)


# Guards against an exit that drops requests without telling their outcomes.
def test_an_ending_task_tells_what_it_knows_of_each_request():
    async def scenario():
        one = upstream(ScriptedAnswer(delay_s=2.0))
        patient = gateway.route(
            repeatable=False, timeout_s=2.0, objective_s=2.0
        )
        async with Harness(one) as harness:
            sent = gateway.request(patient)
            harness.task.send(messages.Submit(sent))
            await asyncio.sleep(0.2)
            one.load = "4,0,4,100"
            await asyncio.sleep(0.1)
            waiting = gateway.request(patient)
            harness.task.send(messages.Submit(waiting))
            await asyncio.sleep(0.2)
            harness.task.send(messages.EndRequests())
            async with asyncio.timeout(0.2):
                told = await read_answer(sent), await read_answer(waiting)
            stopping = outcomes.Reason.STOPPING
            assert told == (
                outcomes.Unknown(stopping),
                outcomes.NotRun(stopping),
            )
            assert len(one.requests) == 1
            assert harness.task.active_count == 0

    run(scenario)


# Guards against sending a request whose attempt the exit is about to cut.
def test_an_attempt_that_would_outlast_the_drain_is_not_started():
    async def scenario():
        one = upstream(ScriptedAnswer(delay_s=0.3))
        async with Harness(one) as harness:
            assert (await harness.submit(gateway.request(CHARGE)))[0] == 200
            now = time.monotonic()
            schedule = drain_schedule.DrainSchedule(now, now, now + 0.2)
            harness.task.send(messages.StartDrain(schedule))
            outcome = await harness.submit(gateway.request(CHARGE))
            assert outcome == outcomes.NotRun(outcomes.Reason.STOPPING)
            assert len(one.requests) == 1

    run(scenario)


# Guards against replacing an answer that has arrived when the task is ended.
def test_an_answer_that_is_there_when_the_task_ends_is_delivered():
    async def scenario():
        one = upstream(ScriptedAnswer(body=b"charged"))
        async with Harness(one) as harness:
            request = gateway.request(CHARGE)
            task = harness.task
            put = task._inbox.put

            def put_end_first(message):
                if isinstance(message, messages.AttemptEnded):
                    put(messages.EndRequests())
                put(message)

            task._flow.runner._send = put_end_first
            task.send(messages.Submit(request))
            assert await read_answer(request) == (200, b"charged")

    run(scenario)


def test_the_upstream_with_the_lower_slowdown_is_chosen():
    async def scenario():
        fast, slow = upstream(), upstream(name="u-2", load="0,0,4,500")
        async with Harness(slow, fast) as harness:
            for _ in range(5):
                await harness.submit(gateway.request())
                await asyncio.sleep(0.03)
            assert (len(fast.requests), len(slow.requests)) == (5, 0)

    run(scenario)


def test_another_data_center_is_chosen_when_the_local_one_stays_slow():
    async def scenario():
        remote = upstream(name="u-2")
        async with Harness(
            upstream(load="0,0,4,900"), remote, u_2="there"
        ) as harness:
            await harness.submit(gateway.request())
            assert len(remote.requests) == 1

    run(scenario)


def test_other_data_centers_are_not_sampled_when_the_local_one_is_fast():
    async def scenario():
        remote = upstream(name="u-2")
        async with Harness(upstream(), remote, u_2="there") as harness:
            await harness.submit(gateway.request())
            assert remote.health_requests == 0

    run(scenario)


def test_a_full_upstream_gets_no_request_and_the_caller_is_refused():
    async def scenario():
        full = upstream(load="4,3,4,100")
        async with Harness(full) as harness:
            outcome = await harness.submit(gateway.request())
            assert outcome == outcomes.NotRun(outcomes.Reason.OVERLOADED)
            assert not full.requests

    run(scenario)


def test_an_upstream_that_reports_no_load_is_used_without_samples():
    async def scenario():
        one = upstream(load="")
        async with Harness(one) as harness:
            for _ in range(4):
                assert await harness.submit(gateway.request()) == (200, b"done")
            assert one.health_requests <= 1

    run(scenario)


def test_an_address_that_answers_for_another_upstream_is_reported():
    async def scenario():
        step = scripted_upstream.rejection(421)
        one = upstream(step)
        async with Harness(one) as harness:
            record = gateway.upstream("u-9", port=one.port)
            harness.task.send(messages.SetUpstreams((record,)))
            outcome = await harness.submit(gateway.request(CHARGE))
            assert isinstance(outcome, outcomes.NotRun)
            assert harness.misplaced == ["u-9"]

    run(scenario)


def test_a_retry_after_a_refused_connection_uses_no_budget():
    async def scenario():
        one = upstream()
        empty = retry_budget.RetryBudgetLimits(0.0, 0.0, 10.0)
        async with Harness(one, budget=empty) as harness:
            records = (
                gateway.upstream("u-1", port=one.port, data_center="there"),
                gateway.upstream("u-2", port=1),
            )
            harness.task.send(messages.SetUpstreams(records))
            assert await harness.submit(gateway.request()) == (200, b"done")

    run(scenario)


def test_a_long_answer_is_forwarded_completely():
    async def scenario():
        body = b"x" * 3_000_000
        async with Harness(upstream(ScriptedAnswer(body=body))) as harness:
            assert await harness.submit(gateway.request()) == (200, body)

    run(scenario)


def test_an_entry_keeps_to_its_share_of_an_upstreams_connections():
    async def scenario():
        steps = [ScriptedAnswer(delay_s=0.05)] * 16
        async with Harness(upstream(*steps, load="0,0,20,100")) as harness:
            answers = [harness.submit(gateway.request()) for _ in range(8)]
            await asyncio.gather(*answers)
            assert harness.task._pool.count_open_links("u-1") > 1
            harness.task.send(messages.SetEntryCount(50))
            answers = [harness.submit(gateway.request()) for _ in range(8)]
            await asyncio.gather(*answers)
            assert harness.task._pool.count_open_links("u-1") == 1

    run(scenario)
