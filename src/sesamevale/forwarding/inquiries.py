"""Inquiries whether upstreams have ended under the requests that they ran."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING

from sesamevale import outcomes
from sesamevale.forwarding import messages
from sesamevale.policy.admission import suspects
from sesamevale.policy.calls import forwarding
from sesamevale.policy.signals import upstream_signals
from sesamevale.upstreams import liveness

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamevale import event_log
    from sesamevale import metrics
    from sesamevale.forwarding import requests
    from sesamevale.policy.balancing import upstream_state

__all__ = ["Inquiries"]


@dataclasses.dataclass(frozen=True, slots=True)
class _CutAttempt:
    """An attempt whose upstream may have ended.

    Attributes:
        active_request: The request.
        decision: What follows if nothing speaks against it.
        ended_at: Monotonic time in seconds at which the attempt ended.
        fingerprint: Fingerprint of the request, whose body may be gone by the
            end of the inquiry.
    """

    active_request: messages.ActiveRequest
    decision: forwarding.Decision
    ended_at: float
    fingerprint: int


class Inquiries:
    """Finds and applies suspicions against the requests of one service.

    It belongs to the task of the service. An attempt that its upstream has cut
    off is followed by a new connection to that upstream; one that listens no
    more has ended. The request waits for that with its next attempt.

    Args:
        entry_id: Identifier of this entry.
        key: Key of the fingerprints, the same at all entries.
        send: Sends a message to the task of the service.
        on_found: Called with suspicions for the other entries.
        events: Log of decisions.
        recorder: Records metrics.
    """

    def __init__(
        self,
        entry_id: str,
        key: bytes,
        send: Callable[[messages.Message], None],
        on_found: Callable[[tuple[suspects.Suspicion, ...]], None],
        events: event_log.EventLog,
        recorder: metrics.MetricsRecorder,
    ) -> None:
        self._key = key
        self._send = send
        self._on_found = on_found
        self._events = events
        self._recorder = recorder
        self._suspects = suspects.Suspects(entry_id)
        self._pending: dict[upstream_signals.Instance, list[_CutAttempt]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def close(self) -> None:
        """Ends the inquiries that are running."""
        for each in self._tasks:
            each.cancel()

    def forget(self) -> None:
        """Forgets old suspicions; called at intervals."""
        if self._suspects:
            self._suspects.forget(time.monotonic())

    def judge(self, request: requests.Request) -> outcomes.NotRun | None:
        """Returns why a request is refused, or None if it may be sent."""
        if not self._suspects:
            return None
        now = time.monotonic()
        fingerprint = self._fingerprint(request)
        judgement = self._suspects.judge(fingerprint, _kind_of(request), now)
        if judgement.verdict is suspects.Verdict.REFUSE:
            self._recorder.count("suspects_refused")
            retry_after_ms = int(judgement.retry_after_s * 1000)
            return outcomes.NotRun(outcomes.Reason.SUSPECT, retry_after_ms)
        if judgement.verdict is suspects.Verdict.TRY_ALONE:
            self._suspects.begin_trial(fingerprint, now)
        return None

    def postpone(
        self,
        active_request: messages.ActiveRequest,
        candidate: upstream_state.Candidate,
        result: forwarding.Result,
        decision: forwarding.Decision,
    ) -> forwarding.Decision | None:
        """Takes the result of an attempt into account.

        Args:
            active_request: The request.
            candidate: The upstream of the attempt.
            result: Result of the attempt.
            decision: What has been decided on the request.

        Returns:
            The decision to apply now; None if it waits for an inquiry.
        """
        self._record_result(active_request.request, result)
        if not _may_have_ended(result):
            return decision
        attempt = _CutAttempt(
            active_request,
            decision,
            time.monotonic(),
            self._fingerprint(active_request.request),
        )
        self._inquire(candidate, attempt)
        return None if isinstance(decision, forwarding.Retry) else decision

    def end(
        self, message: messages.InquiryEnded
    ) -> list[tuple[messages.ActiveRequest, forwarding.Decision]]:
        """Returns the decisions that waited for an inquiry.

        Args:
            message: Result of the inquiry.
        """
        candidate = message.candidate
        attempts = self._pending.pop(candidate.instance, [])
        if not message.is_listening:
            candidate.record_unreachable(time.monotonic())
            self._record_end(candidate, attempts)
        waiting = [
            each
            for each in attempts
            if isinstance(each.decision, forwarding.Retry)
        ]
        return [
            (each.active_request, self._decide(each, message.is_listening))
            for each in waiting
        ]

    def hear(self, heard: tuple[suspects.Suspicion, ...]) -> None:
        """Records what other entries have found."""
        now = time.monotonic()
        for each in heard:
            self._suspects.record(each, now)

    def _inquire(
        self, candidate: upstream_state.Candidate, attempt: _CutAttempt
    ) -> None:
        """Asks whether an upstream listens, once for all its attempts."""
        attempts = self._pending.get(candidate.instance)
        if attempts is not None:
            attempts.append(attempt)
            return
        self._pending[candidate.instance] = [attempt]
        self._recorder.count("inquiries")
        task = asyncio.create_task(self._ask(candidate))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask(self, candidate: upstream_state.Candidate) -> None:
        record = candidate.record
        is_listening = await liveness.is_listening(record.host, record.port)
        self._send(messages.InquiryEnded(candidate, is_listening))

    def _record_end(
        self, candidate: upstream_state.Candidate, attempts: list[_CutAttempt]
    ) -> None:
        """Suspects the requests that were running when an upstream ended."""
        record, now = candidate.record, time.monotonic()
        instance = suspects.kind_of(
            record.upstream_id, str(record.started_ms), f"{record.port}"
        )
        found = []
        for each in attempts:
            request = each.active_request.request
            suspicion = suspects.Suspicion(
                each.fingerprint,
                _kind_of(request),
                instance,
                each.ended_at,
            )
            if self._suspects.record(suspicion, now):
                found.append(suspicion)
        self._recorder.count("upstreams_ended_under_requests")
        self._events.decision(
            "upstream_ended",
            service=record.service,
            upstream=record.upstream_id,
            requests=[
                each.active_request.request.request_id.decode(
                    "ascii", "replace"
                )
                for each in attempts
            ],
            suspects=[f"{each.request:016x}" for each in found],
        )
        if found:
            self._on_found(tuple(found))

    def _record_result(
        self, request: requests.Request, result: forwarding.Result
    ) -> None:
        """Clears a request that an upstream has answered."""
        if not self._suspects:
            return
        fingerprint = self._fingerprint(request)
        was_suspect = self._suspects.is_suspect(fingerprint)
        self._suspects.end_trial(fingerprint)
        if not isinstance(result, forwarding.Answered):
            return
        now = time.monotonic()
        cleared = suspects.Suspicion(
            fingerprint, _kind_of(request), suspects.CLEARED, now
        )
        if self._suspects.record(cleared, now) and was_suspect:
            self._recorder.count("suspects_cleared")
            self._on_found((cleared,))

    def _decide(
        self, attempt: _CutAttempt, is_listening: bool
    ) -> forwarding.Decision:
        """Decides on a request that was to be sent once more."""
        if is_listening:
            return attempt.decision
        request = attempt.active_request.request
        fingerprint, now = attempt.fingerprint, time.monotonic()
        if self._suspects.may_repeat(fingerprint, _kind_of(request), now):
            self._suspects.begin_trial(fingerprint, now)
            return attempt.decision
        self._recorder.count("suspects_not_repeated")
        return attempt.active_request.progress.give_up()

    def _fingerprint(self, request: requests.Request) -> int:
        body = request.body
        edges = body.edges(suspects.BODY_PART_BYTES) if body else b""
        length = len(body) if body else 0
        return suspects.fingerprint(
            self._key, request.method, request.target, edges, length
        )


def _kind_of(request: requests.Request) -> int:
    return suspects.kind_of(request.service, request.route.name)


def _may_have_ended(result: forwarding.Result) -> bool:
    """Whether the result is one that the end of an upstream brings about."""
    if isinstance(result, forwarding.Lost):
        return result.closed_by_upstream
    return isinstance(result, forwarding.Reset)
