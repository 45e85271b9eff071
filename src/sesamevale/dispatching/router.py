"""Routing of calls from callers and other entries to the dispatchers."""

from __future__ import annotations

import dataclasses
import itertools
import math
from typing import TYPE_CHECKING

from sesamevale import calls
from sesamevale import outcomes
from sesamevale.dispatching import at_most_once
from sesamevale.dispatching import dispatcher
from sesamevale.policy.register import identity

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamevale import documents
    from sesamevale.policy.balancing import homes
    from sesamevale.policy.membership import membership_types

__all__ = ["CallRouter", "ClusterView"]


@dataclasses.dataclass(frozen=True, slots=True)
class ClusterView:
    """One entry's view of the cluster; replaced as a whole on each change.

    Attributes:
        own: This entry.
        environment: Document in force, if there is one.
        home_maps: Homes by service.
        usable: Entries that callers may be sent to.
        live_incarnations: Incarnations of reachable entries by identifier.
        draining: Whether this entry is leaving.
        revision: Number of the directory; grows with each change.
    """

    own: membership_types.Member
    environment: documents.Environment | None
    home_maps: dict[str, homes.HomeMap]
    usable: tuple[membership_types.Member, ...]
    live_incarnations: dict[str, int]
    draining: bool = False
    revision: int = 0


class CallRouter:
    """Sends each call to the task that is responsible for it.

    Args:
        view: View of the cluster at the start.
        register: Task that owns the register of actions.
        relay_to_issuer: Starts the relay of a call to the entry that issued
            its identity.
    """

    def __init__(
        self,
        view: ClusterView,
        register: at_most_once.RegisterTask,
        relay_to_issuer: Callable[[calls.Call, str], None],
    ) -> None:
        self._view = view
        self._register = register
        self._relay_to_issuer = relay_to_issuer
        self._dispatchers: dict[str, dispatcher.Dispatcher] = {}
        self._call_ids = itertools.count(1)
        self._active = 0
        self._end_at = math.inf

    @property
    def view(self) -> ClusterView:
        """Current view of the cluster."""
        return self._view

    @property
    def dispatchers(self) -> dict[str, dispatcher.Dispatcher]:
        """Dispatchers by service."""
        return self._dispatchers

    @property
    def active(self) -> int:
        """Calls that have started and not ended."""
        return self._active

    def set_view(self, view: ClusterView) -> None:
        """Replaces the view of the cluster."""
        self._view = view

    def next_call_id(self) -> int:
        """Returns a number that no other call of this process has."""
        return next(self._call_ids)

    def call_started(self) -> None:
        """Counts a call as active."""
        self._active += 1

    def call_ended(self) -> None:
        """Counts a call as ended."""
        self._active -= 1

    def refuse_after(self, end_at: float) -> None:
        """Refuses new calls whose deadline is past the end of this entry.

        Args:
            end_at: Monotonic time in seconds.
        """
        self._end_at = end_at

    def submit(self, call: calls.Call) -> None:
        """Routes a call; its outcome arrives on its answer channel."""
        if call.rule.repeatable:
            self.dispatch(call)
            return
        if call.identity is None:
            self._submit_without_identity(call)
            return
        parsed = identity.parse(call.identity)
        if parsed is None:
            self._submit_without_identity(call)
            return
        own = self._view.own
        location = identity.locate_issuer(
            parsed, own.entry_id, own.incarnation, self._view.live_incarnations
        )
        if location.is_local:
            self._register.send(at_most_once.SubmitAction(call, parsed))
        elif call.deadline > self._end_at:
            stopping = outcomes.Unknown(outcomes.Reason.STOPPING)
            call.answer.put(calls.AnswerFailed(stopping))
        elif location.peer is not None and call.hops > 0:
            self._relay_to_issuer(call, location.peer)
        else:
            gone = outcomes.Unknown(outcomes.Reason.ISSUER_GONE)
            call.answer.put(calls.AnswerFailed(gone))

    def dispatch(self, call: calls.Call) -> None:
        """Sends a call to the dispatcher of its service."""
        if call.deadline > self._end_at:
            stopping = outcomes.NotRun(outcomes.Reason.STOPPING)
            call.answer.put(calls.AnswerFailed(stopping))
            return
        task = self._dispatchers.get(call.service)
        if task is None:
            refusal = outcomes.NotRun(outcomes.Reason.NO_RULE)
            call.answer.put(calls.AnswerFailed(refusal))
            return
        task.send(dispatcher.Submit(call))

    def caller_gone(self, call: calls.Call) -> None:
        """Cancels a call whose caller has disconnected.

        A call with an identity is left to finish.
        """
        task = self._dispatchers.get(call.service)
        if task is not None and call.identity is None:
            task.send(dispatcher.CallerGone(call.call_id))

    def _submit_without_identity(self, call: calls.Call) -> None:
        """Dispatches a call without a valid identity, if its rule allows it."""
        call.identity = None
        if not call.rule.identity_required:
            self.dispatch(call)
            return
        refusal = outcomes.NotRun(outcomes.Reason.IDENTITY_REQUIRED)
        call.answer.put(calls.AnswerFailed(refusal))
