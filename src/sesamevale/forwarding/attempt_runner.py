"""Attempts of requests at the upstreams of one service."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from sesamevale.forwarding import messages
from sesamevale.policy.calls import forwarding
from sesamevale.upstreams import link_messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamevale import event_log
    from sesamevale.forwarding import permits
    from sesamevale.policy.balancing import load_sampling
    from sesamevale.policy.balancing import upstream_state
    from sesamevale.upstreams import link_pool

__all__ = ["AttemptRunner"]

# Longest idle time of a connection that may carry a request that must not be
# repeated. A connection used this recently is assumed to be alive.
VERIFIED_IDLE_MAX_S = 0.1
SERVER_ERROR = 500


class AttemptRunner:
    """Starts and ends attempts on connections to the upstreams.

    Args:
        pool: Connections to the upstreams.
        balancer: Learns the durations of attempts.
        events: Log of decisions.
        send: Called with the message that an attempt or a stream has ended.
        permits: Permits that attempts need.
    """

    def __init__(
        self,
        pool: link_pool.LinkPool,
        balancer: load_sampling.LoadBalancer,
        events: event_log.EventLog,
        send: Callable[[messages.Message], None],
        permits: permits.Permits,
    ) -> None:
        self._pool = pool
        self._balancer = balancer
        self._events = events
        self._send = send
        self._permits = permits

    def start(
        self,
        active_request: messages.ActiveRequest,
        best: upstream_state.RankedCandidate,
    ) -> None:
        """Sends a request to an upstream, or asks for the permit to do so."""
        request = active_request.request
        now = time.monotonic()
        if not self._permits.covers(active_request, now):
            return
        self._permits.spend(active_request)
        candidate = best.candidate
        record = candidate.record
        active_request.attempts += 1
        attempt = active_request.attempts
        idle_max_s = VERIFIED_IDLE_MAX_S
        if request.route.repeatable:
            idle_max_s = float("inf")
        link = self._pool.acquire(record, idle_max_s, now)
        active_request.round += 1
        active_request.candidate, active_request.link = candidate, link
        active_request.expected_slowdown, active_request.sent_at = (
            best.expected_slowdown,
            now,
        )
        self._balancer.record_attempt(candidate, now)

        def report(result: forwarding.Result) -> None:
            self._send(messages.AttemptEnded(request.number, attempt, result))

        def stream_ended(complete: bool) -> None:
            self._send(messages.StreamEnded(request.number, complete))

        link.send(link_messages.Forward(request, report, stream_ended))
        self._events.decision(
            "attempt",
            request=request.request_id.decode("ascii", "replace"),
            attempt=attempt,
            service=request.service,
            upstream=record.upstream_id,
            data_center=record.data_center,
            expected=round(best.expected_slowdown, 2),
            load=_format_load(candidate.load),
            load_fresh=candidate.is_fresh(now),
            tried=len(active_request.tried),
            config=request.version,
        )

    def finish(
        self, active_request: messages.ActiveRequest, result: forwarding.Result
    ) -> None:
        """Releases the connection of an attempt that has ended.

        An answer that is streamed keeps its connection.
        """
        candidate, link = active_request.candidate, active_request.link
        assert candidate is not None and link is not None
        self._permits.attempt_ended(active_request, result)
        name = candidate.record.upstream_id
        active_request.tried |= {name}
        if isinstance(result, forwarding.Answered) and result.rest is not None:
            active_request.is_streaming = True
        else:
            active_request.candidate = active_request.link = None
            candidate.attempt_ended()
            self._pool.release(name, link)
        if _is_success(result):
            now = time.monotonic()
            self._balancer.durations.record(
                active_request.request.route.name,
                now - active_request.sent_at,
                active_request.expected_slowdown,
                now,
            )

    def release_permit(self, active_request: messages.ActiveRequest) -> None:
        """Returns the permit of a request that has ended."""
        self._permits.give_back(active_request)

    def stop(self, active_request: messages.ActiveRequest) -> bool:
        """Cancels the current attempt; True if it may have been sent."""
        candidate, link = active_request.candidate, active_request.link
        if candidate is None or link is None:
            return False
        sent = link.has_sent
        active_request.candidate = active_request.link = None
        candidate.attempt_ended()
        self._pool.discard(candidate.record.upstream_id, link)
        active_request.attempts += 1
        return sent


def _is_success(result: forwarding.Result) -> bool:
    if not isinstance(result, forwarding.Answered):
        return False
    return result.status < SERVER_ERROR


def _format_load(load: upstream_state.Load | None) -> str:
    if load is None:
        return ""
    return f"{load.running}+{load.waiting}/{load.slots}x{load.slowdown:g}"
