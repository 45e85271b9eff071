"""Register of actions that run at most once.

Only the entry that issued an identity decides whether its action runs. The
register is in that entry's memory and lasts as long as its incarnation.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from sesamevale import outcomes

if TYPE_CHECKING:
    from sesamevale.policy.register import identity as identities

__all__ = [
    "Barred",
    "CannotBar",
    "Decision",
    "Join",
    "Refuse",
    "Register",
    "Replay",
    "Run",
]

RETAINED_ANSWER_MAX_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """The action is new: run it once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """The action is running: wait for its outcome."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """The action has an outcome: return the same outcome again."""

    outcome: outcomes.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The call is refused."""

    outcome: outcomes.NotRun | outcomes.Unknown


@dataclasses.dataclass(frozen=True, slots=True)
class Barred:
    """The action has not run and never will."""


@dataclasses.dataclass(frozen=True, slots=True)
class CannotBar:
    """The action is running, or may have run before it was removed."""


Decision = Run | Join | Replay | Refuse


@dataclasses.dataclass(slots=True)
class _Action:
    fingerprint: str
    expires_s: int
    outcome: outcomes.Outcome | None = None
    is_refused: bool = False


class Register:
    """Actions by identity.

    An action is kept until its ticket expires. The same clock decides whether
    a ticket is still accepted, so an action that was removed cannot run again.

    A full register refuses a new action and keeps the refusal, so that a
    repeat does not run either. It keeps as many refusals as actions.

    Args:
        window_s: Longest lifetime of a ticket in seconds.
        actions_max: Most actions that are kept at once, without refusals.
        bytes_max: Most bytes of answers that are kept at once.
    """

    def __init__(self, window_s: int, actions_max: int, bytes_max: int) -> None:
        self._window_s = window_s
        self._actions_max = actions_max
        self._bytes_max = bytes_max
        self._bytes = 0
        self._refused_count = 0
        self._actions: dict[str, _Action] = {}
        self._expiry: dict[int, list[str]] = collections.defaultdict(list)

    def __len__(self) -> int:
        return len(self._actions)

    @property
    def kept_bytes(self) -> int:
        """Bytes of the answer bodies that are kept."""
        return self._bytes

    @property
    def window_s(self) -> int:
        """Longest lifetime of a ticket in seconds."""
        return self._window_s

    def set_window(self, window_s: int) -> None:
        """Changes the lifetime of tickets that are issued from now on."""
        self._window_s = window_s

    def submit(
        self, identity: identities.Identity, fingerprint: str, now_s: float
    ) -> Decision:
        """Decides how to handle a call that names an action.

        Args:
            identity: Identity of the action; issued by this incarnation.
            fingerprint: Digest of the method, target and body of the request;
                a different request under the same identity is refused.
            now_s: Seconds on the issuer's clock, which never runs backwards.
        """
        key = str(identity)
        action = self._actions.get(key)
        if action is not None:
            return self._decide_repeat(action, fingerprint)
        refusal = self._refusal(identity, now_s)
        if refusal is not None:
            return refusal
        self._add(key, identity.ticket.expires_s, fingerprint)
        return Run()

    def settle(self, key: str, outcome: outcomes.Outcome) -> None:
        """Records the outcome of an action that ``submit`` let run.

        An answer that does not fit into the register is recorded as "unknown"
        with the reason ``NOT_RETAINED``.

        Args:
            key: Text form of the identity.
            outcome: Outcome of the call.
        """
        action = self._actions.get(key)
        if action is None or action.outcome is not None:
            return
        action.outcome = self._retained_outcome(outcome)

    def bar(
        self, identity: identities.Identity, now_s: float
    ) -> Barred | CannotBar | Replay:
        """Prevents an action from running, unless it has started.

        Args:
            identity: Identity of the action; issued by this incarnation.
            now_s: Seconds on the issuer's clock, which never runs backwards.
        """
        key = str(identity)
        action = self._actions.get(key)
        if action is None:
            if now_s >= identity.ticket.expires_s:
                return CannotBar()
            self._add(key, identity.ticket.expires_s, "")
            reason = outcomes.Reason.BARRED
            self._actions[key].outcome = outcomes.NotRun(reason)
            return Barred()
        if action.outcome is None:
            return CannotBar()
        if isinstance(action.outcome, outcomes.NotRun):
            return Barred()
        return Replay(action.outcome)

    def expire(self, now_s: float) -> int:
        """Removes the actions whose tickets have expired.

        An action that is still running is kept for another window.

        Args:
            now_s: Seconds on the issuer's clock, which never runs backwards.

        Returns:
            Number of actions removed.
        """
        due = [second for second in self._expiry if second <= now_s]
        removed = 0
        for second in due:
            for key in self._expiry.pop(second):
                removed += self._remove_expired(key)
        return removed

    def _decide_repeat(self, action: _Action, fingerprint: str) -> Decision:
        if action.fingerprint not in ("", fingerprint):
            reason = outcomes.Reason.IDENTITY_MISMATCH
            return Refuse(outcomes.NotRun(reason))
        if action.outcome is None:
            return Join()
        return Replay(action.outcome)

    def _refusal(
        self, identity: identities.Identity, now_s: float
    ) -> Refuse | None:
        expires_s = identity.ticket.expires_s
        if not now_s < expires_s <= now_s + self._window_s + 1:
            reason = outcomes.Reason.IDENTITY_EXPIRED
            return Refuse(outcomes.Unknown(reason))
        if len(self._actions) - self._refused_count >= self._actions_max:
            return self._refuse_when_full(identity)
        return None

    def _refuse_when_full(self, identity: identities.Identity) -> Refuse:
        """Refuses a new action; as "not run" only if that is remembered."""
        full = outcomes.Reason.REGISTER_FULL
        if self._refused_count >= self._actions_max:
            return Refuse(outcomes.Unknown(full))
        key = str(identity)
        self._add(key, identity.ticket.expires_s, "")
        refused = outcomes.NotRun(full)
        action = self._actions[key]
        action.outcome = refused
        action.is_refused = True
        self._refused_count += 1
        return Refuse(refused)

    def _add(self, key: str, expires_s: int, fingerprint: str) -> None:
        self._actions[key] = _Action(fingerprint, expires_s)
        self._expiry[expires_s].append(key)

    def _retained_outcome(self, outcome: outcomes.Outcome) -> outcomes.Outcome:
        """Returns the outcome to keep and counts the bytes of its answer."""
        if not isinstance(outcome, outcomes.Answered):
            return outcome
        size = len(outcome.answer.body)
        too_large = size > RETAINED_ANSWER_MAX_BYTES
        if too_large or self._bytes + size > self._bytes_max:
            return outcomes.Unknown(outcomes.Reason.NOT_RETAINED)
        self._bytes += size
        return outcome

    def _remove_expired(self, key: str) -> int:
        """Returns 1 if the action was removed, 0 if it is still running."""
        action = self._actions[key]
        if action.outcome is None:
            self._expiry[action.expires_s + self._window_s].append(key)
            action.expires_s += self._window_s
            return 0
        if isinstance(action.outcome, outcomes.Answered):
            self._bytes -= len(action.outcome.answer.body)
        self._refused_count -= action.is_refused
        del self._actions[key]
        return 1
