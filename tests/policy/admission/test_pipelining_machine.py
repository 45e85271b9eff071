"""Stateful fuzzing of the order of pipelined requests against an oracle.

The oracle is the list of requests as they arrive. A request is started as soon
as the pipeline allows it, its answer becomes ready at any time, and answers
are sent from the oldest request on. While the entry stops, an answer closes
the connection if it can. Each request that was read whole before that is
answered, in order.
"""

from __future__ import annotations

import dataclasses

from hypothesis import stateful
from hypothesis import strategies as st

from sesamevale.policy.admission import pipelining
from tests.builders import hypothesis_settings

REQUESTS_MAX = 4
BYTES_MAX = 1000


@dataclasses.dataclass(eq=False)
class Request:
    number: int
    is_repeatable: bool
    held_bytes: int
    is_ready: bool = False
    is_refused: bool = False


class PipelineMachine(stateful.RuleBasedStateMachine):
    """Random arrivals, answers and closes."""

    def __init__(self) -> None:
        super().__init__()
        limits = pipelining.PipelineLimits(REQUESTS_MAX, BYTES_MAX)
        self.pipeline: pipelining.Pipeline[Request] = pipelining.Pipeline(
            limits
        )
        self.arrived: list[Request] = []
        self.waiting: list[Request] = []
        self.started: list[Request] = []
        self.sent: list[Request] = []
        self.closed_after: int | None = None
        self.is_stopping = False

    def start_waiting(self) -> None:
        while self.waiting and self.pipeline.may_start(self.waiting[0]):
            request = self.waiting.pop(0)
            unanswered = self.started[len(self.sent) :]
            assert self.closed_after is None
            if unanswered and not request.is_refused:
                assert request.is_repeatable
                assert all(each.is_repeatable for each in unanswered)
                assert sum(each.held_bytes for each in unanswered) <= BYTES_MAX
            assert len(unanswered) < REQUESTS_MAX
            self.started.append(request)
            self.pipeline.start(request)

    @stateful.precondition(lambda self: self.closed_after is None)
    @stateful.rule(
        repeatable=st.booleans(), held_bytes=st.sampled_from([10, 400, 2000])
    )
    def arrive(self, repeatable, held_bytes) -> None:
        request = Request(len(self.arrived), repeatable, held_bytes)
        self.arrived.append(request)
        if self.pipeline.must_refuse(is_stopping=self.is_stopping):
            assert self.is_stopping and self.pipeline
            request.is_refused = request.is_repeatable = True
            request.is_ready, request.held_bytes = True, 0
        self.waiting.append(request)
        self.start_waiting()

    @stateful.precondition(lambda self: self.pipeline)
    @stateful.rule(pick=st.integers(0, 10_000))
    def become_ready(self, pick) -> None:
        unanswered = self.pipeline.requests
        unanswered[pick % len(unanswered)].is_ready = True

    @stateful.precondition(lambda self: self.pipeline)
    @stateful.rule()
    def send_answer(self) -> None:
        oldest = self.pipeline.requests[0]
        if not oldest.is_ready:
            return
        closes = self.is_stopping and self.pipeline.close_behind_oldest(
            has_read_more=bool(self.waiting)
        )
        if closes:
            self.closed_after = oldest.number
        self.sent.append(oldest)
        self.pipeline.end_oldest()
        self.start_waiting()

    @stateful.rule()
    def stop(self) -> None:
        self.is_stopping = True

    @stateful.invariant()
    def answers_have_the_order_of_requests(self) -> None:
        assert self.sent == self.arrived[: len(self.sent)]
        assert self.started == self.arrived[: len(self.started)]
        assert list(self.pipeline.requests) == self.started[len(self.sent) :]

    @stateful.invariant()
    def nothing_waits_without_a_reason(self) -> None:
        if self.waiting:
            assert self.pipeline

    @stateful.invariant()
    def nothing_that_was_read_is_behind_an_answer_that_closes(self) -> None:
        if self.closed_after is not None:
            assert len(self.started) == self.closed_after + 1
            assert len(self.arrived) == len(self.sent)


TestPipeline = PipelineMachine.TestCase
TestPipeline.settings = hypothesis_settings.machine_settings(200, 40)
