"""Questions to the upstreams of one service for their load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamevale.forwarding import messages
from sesamevale.upstreams import link_messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamevale import metrics
    from sesamevale.policy import upstream_state
    from sesamevale.upstreams import link_pool

__all__ = ["Sampler"]


class Sampler:
    """Asks each upstream at most once at a time.

    Args:
        path: Path of the upstreams' load report.
        pool: Connections to the upstreams.
        recorder: Measurements.
        send: Takes the message that tells of an answer.
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
        self._asked: set[str] = set()

    def start_sample(
        self, candidate: upstream_state.Candidate, now: float
    ) -> None:
        """Asks an upstream for its load unless it is being asked."""
        record = candidate.record
        if record.upstream_id in self._asked:
            return
        link = self._pool.acquire(record, float("inf"), now)
        self._asked.add(record.upstream_id)
        self._recorder.count("samples")

        def report(result: link_messages.SampleResult) -> None:
            self._send(messages.SampleEnded(candidate, link, result))

        link.send(link_messages.Sample(self.path, report))

    def finish_sample(self, message: messages.SampleEnded, now: float) -> None:
        """Takes back the connection and notes whether the upstream lives."""
        candidate, result = message.candidate, message.result
        name = candidate.record.upstream_id
        self._asked.discard(name)
        self._pool.release(name, message.link)
        if not result.reached:
            candidate.record_unreachable(now)
        elif not result.healthy:
            candidate.record_failure(now)
