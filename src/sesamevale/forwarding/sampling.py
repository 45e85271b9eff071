"""Sampling of the load of one service's upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamevale.forwarding import messages
from sesamevale.upstreams import link_messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamevale import metrics
    from sesamevale.policy.balancing import upstream_state
    from sesamevale.upstreams import link_pool

__all__ = ["Sampler"]


class Sampler:
    """Requests load reports, at most one at a time from each upstream.

    Args:
        path: Path of the upstreams' load report.
        pool: Connections to the upstreams.
        recorder: Records metrics.
        send: Called with the message that a sample has ended.
    """

    def __init__(
        self,
        path: str,
        pool: link_pool.LinkPool,
        recorder: metrics.MetricsRecorder,
        send: Callable[[messages.SampleEnded], None],
    ) -> None:
        self.path = path
        self._pool = pool
        self._recorder = recorder
        self._send = send
        self._pending: set[str] = set()

    def start_sample(
        self, candidate: upstream_state.Candidate, now: float
    ) -> None:
        """Requests a load report unless one is pending."""
        record = candidate.record
        if record.upstream_id in self._pending:
            return
        link = self._pool.acquire(record, float("inf"), now)
        self._pending.add(record.upstream_id)
        self._recorder.count("samples")

        def report(result: link_messages.SampleResult) -> None:
            self._send(messages.SampleEnded(candidate, link, result))

        link.send(link_messages.Sample(self.path, report))

    def finish_sample(self, message: messages.SampleEnded, now: float) -> None:
        """Returns the connection to the pool and records failures."""
        candidate, result = message.candidate, message.result
        name = candidate.record.upstream_id
        self._pending.discard(name)
        self._pool.release(name, message.link)
        if result.was_reset:
            candidate.record_reset(now)
        elif not result.reached:
            candidate.record_unreachable(now)
        elif not result.healthy:
            candidate.record_failure(now)
