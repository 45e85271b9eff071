"""Task that applies one service's dispatch policy and owns its connections."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
from typing import TYPE_CHECKING

from sesamevale import calls
from sesamevale import messaging
from sesamevale import outcomes
from sesamevale import tracing
from sesamevale.dispatching import exchanges
from sesamevale.policy.calls import attempts
from sesamevale.policy.calls import call_state
from sesamevale.policy.calls import dispatch
from sesamevale.policy.calls import effects
from sesamevale.upstreams import connection

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamevale import documents
    from sesamevale.policy.balancing import homes

__all__ = [
    "CallerGone",
    "Dispatcher",
    "EndCalls",
    "Message",
    "PeerLoadReported",
    "ProbeEnded",
    "SetHomes",
    "SetLeavingUpstreams",
    "SetService",
    "Submit",
    "TimerFired",
]

CONNECTION_IDLE_MAX_S = 30.0
NON_REPEATABLE_IDLE_MAX_S = 0.5
REAP_INTERVAL_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Submit:
    """Command to dispatch a call."""

    call: calls.Call


@dataclasses.dataclass(frozen=True, slots=True)
class CallerGone:
    """Event that the caller of a call has disconnected."""

    call_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndCalls:
    """Command to end all calls, since this entry stops."""


@dataclasses.dataclass(frozen=True, slots=True)
class SetHomes:
    """Command to replace the owners of the service's upstreams."""

    home_map: homes.HomeMap | None


@dataclasses.dataclass(frozen=True, slots=True)
class SetService:
    """Command to apply a new version of the service."""

    service: documents.Service


@dataclasses.dataclass(frozen=True, slots=True)
class SetLeavingUpstreams:
    """Command to set the upstreams that the list of VMs marks as leaving."""

    names: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLoadReported:
    """Event that carries the load of the service at another entry."""

    entry_id: str
    load: attempts.PeerLoad


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeEnded:
    """Event that carries the result of a probe of an upstream."""

    upstream: str
    healthy: bool
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TimerFired:
    """Event that a timer of the dispatch policy has expired."""

    kind: effects.TimerKind
    call_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Reap:
    """Command to close connections that have been idle for too long."""


Message = (
    Submit
    | exchanges.AttemptEnded
    | CallerGone
    | EndCalls
    | SetHomes
    | SetService
    | SetLeavingUpstreams
    | PeerLoadReported
    | ProbeEnded
    | TimerFired
    | _Reap
)


class Dispatcher(messaging.Actor[Message]):
    """Applies the dispatch policy of one service.

    Args:
        service: The service.
        policy: Dispatch policy of the service.
        open_relay: Returns a connection to another entry, or None if the
            entry is not known.
    """

    def __init__(
        self,
        service: documents.Service,
        policy: dispatch.DispatchPolicy,
        open_relay: Callable[[str], exchanges.Link | None],
    ) -> None:
        super().__init__(f"dispatcher-{service.name}")
        self._service = service
        self._policy = policy
        self._open_relay = open_relay
        self._calls: dict[int, calls.Call] = {}
        self._links: dict[int, exchanges.Link] = {}
        self._idle: dict[str, list[exchanges.Link]] = {}
        self._targets: dict[int, str] = {}
        self._deadlines: dict[int, asyncio.TimerHandle] = {}
        self._loop = asyncio.get_running_loop()
        self._reaper = self._loop.call_later(
            REAP_INTERVAL_S, self._request_reap
        )

    @property
    def service(self) -> documents.Service:
        """Current version of the service."""
        return self._service

    @property
    def policy(self) -> dispatch.DispatchPolicy:
        """The dispatch policy, for reports; only this task may change it."""
        return self._policy

    async def __aexit__(self, *exc_info: object) -> None:
        self._reaper.cancel()
        for timer in self._deadlines.values():
            timer.cancel()
        await super().__aexit__(*exc_info)
        for links in self._idle.values():
            for link in links:
                link.abort()
        for link in self._links.values():
            link.abort()

    def receive(self, message: Message) -> None:
        """Implements ``messaging.Actor``."""
        _receive(message, self)

    def _apply_all(self, wanted: list[effects.Effect]) -> None:
        for effect in wanted:
            _apply(effect, self)

    def _start_attempt(
        self,
        attempt_id: int,
        call_id: int,
        target: str,
        link: exchanges.Link | None,
        retries: int,
        buffer_failures: bool,
    ) -> None:
        """Sends a call over a connection."""
        call = self._calls[call_id]
        if link is None:
            link = _ClosedLink()
        self._links[attempt_id] = link
        self._targets[attempt_id] = target
        link.send(
            exchanges.Exchange(
                attempt_id, call, self._service, retries, buffer_failures, self
            )
        )

    def _acquire_link(
        self, upstream: documents.Upstream, *, repeatable: bool
    ) -> exchanges.Link:
        """Returns an idle connection to an upstream or a new one.

        A call that must not be repeated gets a recently used connection or a
        new one, since the upstream may be closing an older idle connection.
        """
        idle = self._idle.get(upstream.name, [])
        oldest_use = self._loop.time() - NON_REPEATABLE_IDLE_MAX_S
        while idle:
            link = idle.pop()
            if not link.open:
                link.abort()
            elif repeatable or link.idle_since >= oldest_use:
                return link
            else:
                idle.append(link)
                break
        return connection.UpstreamConnection(upstream)

    def _release_link(self, target: str, link: exchanges.Link) -> None:
        if not link.open:
            link.abort()
            return
        self._idle.setdefault(target, []).append(link)

    def _remove_call(self, call_id: int) -> None:
        self._calls.pop(call_id, None)
        timer = self._deadlines.pop(call_id, None)
        if timer is not None:
            timer.cancel()

    def _request_reap(self) -> None:
        self.send(_Reap())
        self._reaper = self._loop.call_later(
            REAP_INTERVAL_S, self._request_reap
        )

    def _reap(self) -> None:
        oldest_use = self._loop.time() - CONNECTION_IDLE_MAX_S
        for target, links in self._idle.items():
            kept = []
            for link in links:
                if link.open and link.idle_since >= oldest_use:
                    kept.append(link)
                else:
                    link.abort()
            self._idle[target] = kept


class _ClosedLink:
    """Connection to an entry that is no longer known."""

    open = False
    idle_since = 0.0

    def send(self, message: exchanges.Exchange) -> None:
        """Reports that nothing was sent."""
        result = attempts.NotSent(outcomes.Reason.PEER_LOST)
        message.result_receiver.send(
            exchanges.AttemptEnded(message.attempt_id, result, self)
        )

    def abort(self) -> None:
        """Does nothing."""


@functools.singledispatch
def _receive(message: Message, task: Dispatcher) -> None:
    raise TypeError(f"no handler for {type(message).__name__}")


@_receive.register
def _(message: Submit, task: Dispatcher) -> None:
    call = message.call
    rule = call.rule
    task._calls[call.call_id] = call
    properties = call_state.CallProperties(
        call.call_id,
        call.caller,
        rule.priority,
        call.deadline,
        rule.repeatable,
        call.replayable,
        rule.hedge and rule.repeatable and call.replayable,
        call.retries,
        call.hops,
    )
    task._apply_all(task._policy.submit(properties, task._loop.time()))


@_receive.register
def _(message: exchanges.AttemptEnded, task: Dispatcher) -> None:
    task._links.pop(message.attempt_id, None)
    target = task._targets.pop(message.attempt_id)
    task._release_link(target, message.link)
    call_id = task._policy.call_id_of(message.attempt_id)
    now = task._loop.time()
    wanted = task._policy.attempt_ended(message.attempt_id, message.result, now)
    task._apply_all(wanted)
    if not task._policy.is_active(call_id):
        task._remove_call(call_id)


@_receive.register
def _(message: CallerGone, task: Dispatcher) -> None:
    now = task._loop.time()
    task._apply_all(task._policy.cancel(message.call_id, now))
    if not task._policy.is_active(message.call_id):
        task._remove_call(message.call_id)


@_receive.register
def _(message: EndCalls, task: Dispatcher) -> None:
    task._apply_all(task._policy.end_calls())


@_receive.register
def _(message: SetHomes, task: Dispatcher) -> None:
    now = task._loop.time()
    task._apply_all(task._policy.set_homes(message.home_map, now))


@_receive.register
def _(message: SetService, task: Dispatcher) -> None:
    task._service = message.service
    now = task._loop.time()
    task._apply_all(task._policy.set_service(message.service, now))


@_receive.register
def _(message: SetLeavingUpstreams, task: Dispatcher) -> None:
    now = task._loop.time()
    task._apply_all(task._policy.set_leaving_upstreams(message.names, now))


@_receive.register
def _(message: PeerLoadReported, task: Dispatcher) -> None:
    now = task._loop.time()
    wanted = task._policy.update_peer_load(message.entry_id, message.load, now)
    task._apply_all(wanted)


@_receive.register
def _(message: ProbeEnded, task: Dispatcher) -> None:
    now = task._loop.time()
    wanted = task._policy.record_probe(
        message.upstream, now, healthy=message.healthy, leaving=message.leaving
    )
    task._apply_all(wanted)


@_receive.register
def _(message: TimerFired, task: Dispatcher) -> None:
    now = task._loop.time()
    wanted = task._policy.timer_fired(message.kind, message.call_id, now)
    task._apply_all(wanted)


@_receive.register
def _(message: _Reap, task: Dispatcher) -> None:
    task._reap()


@functools.singledispatch
def _apply(effect: effects.Effect, task: Dispatcher) -> None:
    raise TypeError(f"no handler for {type(effect).__name__}")


@_apply.register
def _(effect: effects.Bind, task: Dispatcher) -> None:
    upstream = task._policy.pool.states[effect.upstream].upstream
    call = task._calls[effect.call_id]
    tracing.record_queue_wait(call)
    link = task._acquire_link(upstream, repeatable=call.rule.repeatable)
    task._start_attempt(
        effect.attempt_id,
        effect.call_id,
        effect.upstream,
        link,
        effect.retries,
        effect.buffer_failures,
    )


@_apply.register
def _(effect: effects.Relay, task: Dispatcher) -> None:
    idle = task._idle.get(effect.entry_id, [])
    link: exchanges.Link | None = None
    call = task._calls[effect.call_id]
    while idle and link is None and call.rule.repeatable:
        candidate = idle.pop()
        link = candidate if candidate.open else None
    if link is None:
        link = task._open_relay(effect.entry_id)
    call.relay_entry_id = effect.entry_id
    task._start_attempt(
        effect.attempt_id,
        effect.call_id,
        effect.entry_id,
        link,
        effect.retries,
        False,
    )


@_apply.register
def _(effect: effects.AbortAttempt, task: Dispatcher) -> None:
    link = task._links.get(effect.attempt_id)
    if link is not None:
        link.abort()


@_apply.register
def _(effect: effects.FailCall, task: Dispatcher) -> None:
    call = task._calls.get(effect.call_id)
    if call is not None:
        call.answer.put(calls.AnswerFailed(effect.outcome))
    task._remove_call(effect.call_id)


@_apply.register
def _(effect: effects.DeliverAnswer, task: Dispatcher) -> None:
    call = task._calls.get(effect.call_id)
    if call is not None:
        answer = effect.answer
        call.answer.put(calls.AnswerHead(answer.status, answer.headers))
        call.answer.put(calls.AnswerData(answer.body))
        call.answer.put(calls.AnswerEnd())
    task._remove_call(effect.call_id)


@_apply.register
def _(effect: effects.SetTimer, task: Dispatcher) -> None:
    fired = TimerFired(effect.kind, effect.call_id)
    timer = task._loop.call_at(effect.at, task.send, fired)
    if effect.kind is effects.TimerKind.DEADLINE:
        task._deadlines[effect.call_id] = timer
