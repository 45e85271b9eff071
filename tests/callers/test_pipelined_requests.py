"""Requests that a caller sends before the first one is answered.

They were served one after the other, so each waited for the upstreams of all
before it.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import time

import hypothesis
from hypothesis import strategies as st

from sesamevale import routes
from sesamevale.callers import gateway_connection
from sesamevale.policy.admission import drain_schedule
from tests.builders import pipelined
from tests.builders.pipelined import Sent
from tests.standins import answer_reader
from tests.standins import delaying_upstream
from tests.standins import gateway_entry

SLOW_MS = 300
# Tasks of other connections get turns until the gateway has read what was sent.
SETTLE_S = 0.1
# Time in which a caller must see the end of its connection after a request
# that was not taken, in seconds.
LOSS_SLACK_S = 0.2


class Caller:
    """One connection on which requests are sent without waiting."""

    def __init__(self, reader, writer):
        self._reader = reader
        self.writer = writer

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def answer(self):
        """Returns the status, fields and body of the next final answer.

        Returns None if the connection ends before its first byte.
        """
        try:
            status, fields, body = await answer_reader.read_answer(self._reader)
        except asyncio.IncompleteReadError as error:
            assert not error.partial, "an answer was cut"
            return None
        return status, fields, body.decode()

    async def answers(self, count):
        answers = [await self.answer() for _ in range(count)]
        assert None not in answers, "a request was not answered"
        return answers


@contextlib.asynccontextmanager
async def calling(*upstreams):
    """Yields an entry and a caller that is connected to it."""
    async with gateway_entry.GatewayEntry(*upstreams) as entry:
        reader, writer = await asyncio.open_connection(
            gateway_entry.HOST, entry.port
        )
        try:
            yield entry, Caller(reader, writer)
        finally:
            writer.transport.abort()


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 20))


def bodies(answers):
    return [each[2] for each in answers]


def test_they_are_served_side_by_side_and_answered_in_order():
    upstream = delaying_upstream.DelayingUpstream()

    async def scenario():
        async with calling(upstream) as (_, caller):
            sent = pipelined.reads(3, SLOW_MS)
            caller.send(pipelined.data_of(sent))
            await asyncio.sleep(SLOW_MS / 2000)
            assert upstream.received_ids == ["r0", "r1", "r2"]
            answers = await caller.answers(3)
            assert bodies(answers) == ["r0", "r1", "r2"]

    run(scenario())


def answers_keep_the_order_of_requests():
    upstream = delaying_upstream.DelayingUpstream()

    async def scenario():
        async with calling(upstream) as (_, caller):
            sent = [Sent("slow", delay_ms=SLOW_MS), Sent("a"), Sent("b")]
            caller.send(pipelined.data_of(sent))
            answers = await caller.answers(3)
            assert bodies(answers) == ["slow", "a", "b"]
            ids = [each[1]["x-attempt-id"] for each in answers]
            assert ids == ["slow", "a", "b"]

    run(scenario())


def test_a_fast_answer_waits_for_a_slow_one_before_it():
    answers_keep_the_order_of_requests()


def test_an_unrepeatable_request_is_started_alone():
    upstream = delaying_upstream.DelayingUpstream()

    async def scenario():
        async with calling(upstream) as (_, caller):
            sent = [
                Sent("a", delay_ms=100),
                Sent("paid", pipelined.UNSAFE, 100),
                Sent("b"),
            ]
            caller.send(pipelined.data_of(sent))
            answers = await caller.answers(3)
            assert bodies(answers) == ["a", "paid", "b"]
            assert upstream.unanswered_at_arrival["paid"] == frozenset()
            assert upstream.unanswered_at_arrival["b"] == frozenset()

    run(scenario())


def test_their_number_is_bounded():
    upstream = delaying_upstream.DelayingUpstream()
    most = gateway_connection.PIPELINED_REQUESTS_MAX

    async def scenario():
        async with calling(upstream) as (_, caller):
            upstream.load = "0,0,100,100"
            sent = pipelined.reads(3 * most, 50)
            caller.send(pipelined.data_of(sent))
            answers = await caller.answers(len(sent))
            assert bodies(answers) == [each.request_id for each in sent]
            assert upstream.most_unanswered <= most

    run(scenario())


def test_a_caller_that_leaves_cancels_all_of_them():
    upstream = delaying_upstream.DelayingUpstream()

    async def scenario():
        async with calling(upstream) as (entry, caller):
            caller.send(pipelined.data_of(pipelined.reads(3, 5000)))
            await asyncio.sleep(SETTLE_S)
            assert len(upstream.unanswered_ids) == 3
            caller.writer.transport.abort()
            await asyncio.sleep(SETTLE_S)
            assert upstream.unanswered_ids == set()
            assert entry.router.active_count == 0

    run(scenario())


def test_a_malformed_request_is_refused_in_its_place():
    upstream = delaying_upstream.DelayingUpstream()

    async def scenario():
        async with calling(upstream) as (entry, caller):
            sent = pipelined.reads(2, 100)
            caller.send(pipelined.data_of(sent) + b"\x00\r\n\r\n")
            answers = await caller.answers(3)
            assert [each[0] for each in answers] == [200, 200, 400]
            assert await caller.answer() is None
            assert entry.router.active_count == 0

    run(scenario())


def test_a_body_that_is_too_long_is_refused_in_its_place():
    upstream = delaying_upstream.DelayingUpstream()
    length = routes.CallerLimits().body_bytes + 1
    long = Sent("long", fields=(f"Content-Length: {length}",))

    async def scenario():
        async with calling(upstream) as (_, caller):
            sent = [*pipelined.reads(2, 100), long]
            caller.send(pipelined.data_of(sent))
            answers = await caller.answers(3)
            assert [each[0] for each in answers] == [200, 200, 413]
            assert await caller.answer() is None

    run(scenario())


def test_a_request_that_stays_incomplete_is_timed_out_in_its_place():
    upstream = delaying_upstream.DelayingUpstream()

    async def scenario():
        async with calling(upstream) as (entry, caller):
            caller.send(pipelined.data_of(pipelined.reads(2, 200)) + b"GET /")
            await asyncio.sleep(SETTLE_S)
            entry.server.expire_partial_requests()
            answers = await caller.answers(3)
            assert [each[0] for each in answers] == [200, 200, 408]
            assert await caller.answer() is None

    run(scenario())


def test_a_request_behind_one_that_closes_the_connection_is_not_sent_on():
    upstream = delaying_upstream.DelayingUpstream()

    async def scenario():
        async with calling(upstream) as (_, caller):
            last = Sent("last", delay_ms=50, fields=("Connection: close",))
            caller.send(pipelined.data_of([last, Sent("behind")]))
            assert (await caller.answer())[2] == "last"
            assert await caller.answer() is None
            assert upstream.received_ids == ["last"]

    run(scenario())


def stopping(entry):
    view = dataclasses.replace(entry.router.view, stopping=True)
    entry.router.set_view(view)


# Guards against requests that were read behind others and dropped by a stop.
def test_an_entry_that_stops_answers_what_it_has_read():
    upstream = delaying_upstream.DelayingUpstream()

    async def scenario():
        async with calling(upstream) as (entry, caller):
            caller.send(pipelined.data_of(pipelined.reads(3, SLOW_MS)))
            await asyncio.sleep(SETTLE_S)
            stopping(entry)
            caller.send(Sent("late").data)
            answers = await caller.answers(4)
            assert [each[0] for each in answers] == [200, 200, 200, 503]
            closing = ["connection" in each[1] for each in answers]
            assert closing == [False, False, False, True]
            assert await caller.answer() is None
            assert "late" not in upstream.received_ids
            assert entry.router.active_count == 0

    run(scenario())


# Guards against a charge that was read before a stop and never answered.
def test_a_charge_that_was_read_before_a_stop_is_served_behind_a_read():
    upstream = delaying_upstream.DelayingUpstream()

    async def scenario():
        async with calling(upstream) as (entry, caller):
            sent = [
                Sent("read", delay_ms=SLOW_MS),
                Sent("paid", pipelined.UNSAFE),
                Sent("behind"),
            ]
            caller.send(pipelined.data_of(sent))
            await asyncio.sleep(SETTLE_S)
            stopping(entry)
            answers = await caller.answers(3)
            assert [each[0] for each in answers] == [200, 200, 503]
            closing = ["connection" in each[1] for each in answers]
            assert closing == [False, False, True]
            assert await caller.answer() is None
            assert upstream.received_ids == ["read", "paid"]

    run(scenario())


# Guards against a charge that the end of a drain left without an answer.
def test_the_end_of_a_drain_promises_a_charge_away_that_waits():
    upstream = delaying_upstream.DelayingUpstream()

    async def scenario():
        async with calling(upstream) as (entry, caller):
            sent = [
                Sent("read", delay_ms=5000),
                Sent("paid", pipelined.UNSAFE),
            ]
            caller.send(pipelined.data_of(sent))
            await asyncio.sleep(SETTLE_S)
            stopping(entry)
            schedule = drain_schedule.DrainSchedule.plan(
                time.monotonic(), 0.0, 0.0
            )
            entry.router.start_drain(schedule.ended())
            entry.router.end_requests()
            answers = await caller.answers(2)
            assert [each[0] for each in answers] == [502, 503]
            assert await caller.answer() is None
            assert upstream.received_ids == ["read"]

    run(scenario())


# Guards against a request that arrives with the answer that closes the
# connection and is dropped.
def test_what_arrives_just_before_an_answer_that_closes_is_answered():
    upstream = delaying_upstream.DelayingUpstream()

    async def scenario():
        async with calling(upstream) as (entry, caller):
            caller.send(Sent("first", delay_ms=SLOW_MS).data)
            await asyncio.sleep(SETTLE_S)
            stopping(entry)
            (connection,) = entry.server._connections
            deliver = connection._close_after_oldest

            def arrive_first():
                if not upstream.received_ids[1:]:
                    data = Sent("paid", pipelined.UNSAFE).data
                    connection._stream.data_received(data)
                return deliver()

            connection._pipeline.requests[
                0
            ]._encoder._closes_connection = arrive_first
            assert (await caller.answer())[0] == 200
            answer = await caller.answer()
            assert answer is not None, "a request was not answered"
            assert "connection" in answer[1]

    run(scenario())


# Guards against an idle time-out that drops a request which has just arrived.
def test_a_connection_that_times_out_answers_what_has_just_arrived():
    upstream = delaying_upstream.DelayingUpstream()

    async def scenario():
        async with calling(upstream) as (entry, caller):
            caller.send(Sent("first").data)
            assert (await caller.answer())[0] == 200
            (connection,) = entry.server._connections
            connection._stream.data_received(
                Sent("paid", pipelined.UNSAFE).data
            )
            connection.expire()
            answer = await caller.answer()
            assert answer is not None, "a request was not answered"
            assert answer[0] == 200

    run(scenario())


# Guards against a request that crosses the last answer and whose caller learns
# only after half a second that it was not taken.
def test_the_end_of_a_connection_follows_its_last_answer_at_once():
    upstream = delaying_upstream.DelayingUpstream()

    async def scenario():
        async with calling(upstream) as (entry, caller):
            stopping(entry)
            caller.send(Sent("last").data)
            assert "connection" in (await caller.answer())[1]
            caller.send(Sent("crossing", pipelined.UNSAFE).data)
            async with asyncio.timeout(LOSS_SLACK_S):
                assert await caller.answer() is None
            assert upstream.received_ids == ["last"]

    run(scenario())


def test_the_end_of_a_drain_tells_the_outcome_of_each():
    upstream = delaying_upstream.DelayingUpstream()

    async def scenario():
        async with calling(upstream) as (entry, caller):
            caller.send(pipelined.data_of(pipelined.reads(3, 5000)))
            await asyncio.sleep(SETTLE_S)
            stopping(entry)
            entry.router.end_requests()
            answers = await caller.answers(3)
            assert [each[0] for each in answers] == [502, 502, 502]
            await asyncio.sleep(SETTLE_S)
            assert entry.router.active_count == 0

    run(scenario())


def test_a_body_that_is_held_back_is_asked_for_after_the_answers_before_it():
    upstream = delaying_upstream.DelayingUpstream()
    held_back = Sent(
        "body", fields=("Content-Length: 4", "Expect: 100-continue")
    )

    async def scenario():
        async with calling(upstream) as (_, caller):
            caller.send(pipelined.data_of([Sent("a", delay_ms=100), held_back]))
            assert (await caller.answer())[2] == "a"
            caller.send(b"body")
            assert (await caller.answer())[2] == "body"

    run(scenario())


@hypothesis.settings(max_examples=15, deadline=None, database=None)
@hypothesis.given(
    kinds=st.lists(
        st.tuples(
            st.sampled_from([pipelined.SAFE, pipelined.SAFE, pipelined.UNSAFE]),
            st.sampled_from([0, 5, 20, 60]),
        ),
        min_size=1,
        max_size=12,
    ),
    part_bytes=st.integers(1, 400),
)
def test_any_run_of_requests_is_answered_in_order_and_runs_once(
    kinds, part_bytes
):
    upstream = delaying_upstream.DelayingUpstream()
    sent = [
        Sent(f"q{number}", kind, delay_ms)
        for number, (kind, delay_ms) in enumerate(kinds)
    ]

    async def scenario():
        async with calling(upstream) as (_, caller):
            upstream.load = "0,0,100,100"
            data = pipelined.data_of(sent)
            reading = asyncio.ensure_future(caller.answers(len(sent)))
            for start in range(0, len(data), part_bytes):
                caller.send(data[start : start + part_bytes])
                await asyncio.sleep(0)
            expected = [each.request_id for each in sent]
            assert bodies(await reading) == expected
            assert sorted(upstream.received_ids) == sorted(expected)
            for each in sent:
                if each.kind == pipelined.UNSAFE:
                    alone = upstream.unanswered_at_arrival[each.request_id]
                    assert alone == frozenset()

    run(scenario())
