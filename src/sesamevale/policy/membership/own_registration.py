"""An entry's own registration in the store, checked against what is read.

The registration is not done once it is written: the key may be bound to an
old lease by a write that is executed late, may have lapsed, or may be of
another process or of an earlier era of the store. Each read of the store
shows the key, and a difference is mended. Every write is conditional on the
key's last known revision, so one that is executed late does nothing.
"""

from __future__ import annotations

import dataclasses
import functools
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sesamevale.policy.membership import backoff

__all__ = [
    "Conflict",
    "Failed",
    "Grant",
    "Granted",
    "LeaseEnded",
    "OwnRegistration",
    "Record",
    "Renew",
    "Renewed",
    "Revoke",
    "Revoked",
    "Step",
    "Wait",
    "Write",
    "Written",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """What the store holds under the key of an entry.

    Attributes:
        incarnation: Process that wrote it; 0 if it does not say.
        lease: Lease that it is bound to; 0 for none.
        revision: Revision of its last change.
        era: Era of the store in which it was written; 0 if it does not say.
    """

    incarnation: int = 0
    lease: int = 0
    revision: int = 0
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Step: request a lease."""


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Step: write the key under a condition.

    Attributes:
        lease: Lease to bind it to.
        revision: Revision that the key must have; 0 if it must not exist.
        era: Era to write into the value.
    """

    lease: int
    revision: int
    era: int


@dataclasses.dataclass(frozen=True, slots=True)
class Renew:
    """Step: renew a lease."""

    lease: int


@dataclasses.dataclass(frozen=True, slots=True)
class Revoke:
    """Step: end a lease, and with it the registration."""

    lease: int


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Step: wait for a message or until some seconds have passed."""

    seconds: float


Step = Grant | Write | Renew | Revoke | Wait


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """Result: a lease was granted."""

    lease: int


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """Result: the key was written at a revision."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Result: the condition of a write does not hold.

    Attributes:
        found: What the key holds; None if it does not exist.
    """

    found: Record | None


@dataclasses.dataclass(frozen=True, slots=True)
class Renewed:
    """Result: the lease was renewed."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseEnded:
    """Result: there is no such lease any more."""


@dataclasses.dataclass(frozen=True, slots=True)
class Revoked:
    """Result: the call to end a lease has returned."""


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """Result: a call failed and may or may not have taken effect."""


Result = Granted | Written | Conflict | Renewed | LeaseEnded | Revoked | Failed


class OwnRegistration:
    """Decides the next call that makes or keeps the registration true.

    All times are monotonic times in seconds.

    Args:
        incarnation: Incarnation of this process.
        renew_interval_s: Interval between renewals of the lease in seconds.
        delays: Delays between attempts.
    """

    def __init__(
        self,
        incarnation: int,
        renew_interval_s: float,
        delays: backoff.Backoff,
    ) -> None:
        self._incarnation = incarnation
        self._renew_interval_s = renew_interval_s
        self._delays = delays
        self._is_wanted = False
        self._is_there = False
        self._is_taken = False
        self._era = 0
        self._lease = 0
        self._revision = 0
        # Reads that were sent earlier do not show the last change.
        self._changed_at = -math.inf
        self._due_at = -math.inf

    @property
    def is_there(self) -> bool:
        """Whether the registration was there when it was last checked."""
        return self._is_there

    @property
    def is_taken(self) -> bool:
        """Whether a later process of the same entry holds the key."""
        return self._is_taken

    def set_wanted(self, is_wanted: bool) -> None:
        """Sets whether this entry is to be registered."""
        self._is_wanted = is_wanted

    def next_step(self, now: float) -> Step:
        """Returns the call that is due, or how long to wait for it."""
        if not self._is_wanted:
            return Revoke(self._lease) if self._lease else Wait(math.inf)
        if self._is_taken:
            return Wait(math.inf)
        if now < self._due_at:
            return Wait(self._due_at - now)
        if not self._lease:
            return Grant()
        if not self._is_there:
            return Write(self._lease, self._revision, self._era)
        return Renew(self._lease)

    def record_era(self, era: int, now: float) -> None:
        """Records the era that the store names; 0 if it names none.

        What was granted or written in an earlier era may be gone, and its
        numbers may have been given out again.
        """
        if era <= self._era:
            return
        is_first = self._era == 0
        self._era = era
        if is_first and not self._lease:
            return
        self._forget_lease()
        self._changed_at = -math.inf
        self._due_at = now

    def record_read(
        self, found: Record | None, era: int, read_at: float, now: float
    ) -> None:
        """Compares a read with what is meant to be there.

        Args:
            found: What the key held; None if it did not exist.
            era: Era of the store; 0 if it names none.
            read_at: When the read was sent.
            now: Time now.
        """
        self.record_era(era, now)
        if era < self._era or read_at <= self._changed_at:
            return
        was_there = self._is_there
        self._compare(found)
        if not self._is_wanted:
            if found is not None and found.incarnation == self._incarnation:
                self._lease = found.lease
            return
        if was_there and not self._is_there:
            self._due_at = now + self._delays.next_delay_s()

    def record_result(self, result: Result, now: float) -> None:
        """Records the result of the last step."""
        _record(result, self, now)

    def _compare(self, found: Record | None) -> None:
        """Learns from what the key holds."""
        self._revision = 0 if found is None else found.revision
        own = Record(self._incarnation, self._lease, self._revision, self._era)
        self._is_there = self._lease != 0 and found == own
        self._is_taken = (
            found is not None and found.incarnation > self._incarnation
        )

    def _forget_lease(self) -> None:
        self._lease = 0
        self._revision = 0
        self._is_there = False
        self._is_taken = False


@functools.singledispatch
def _record(result: Result, own: OwnRegistration, now: float) -> None:
    raise TypeError(f"no handler for {type(result).__name__}")


@_record.register
def _(result: Granted, own: OwnRegistration, now: float) -> None:
    own._lease = result.lease
    own._due_at = now


@_record.register
def _(result: Written, own: OwnRegistration, now: float) -> None:
    own._revision = result.revision
    own._is_there = True
    own._changed_at = now
    own._delays.reset()
    own._due_at = now + own._renew_interval_s


@_record.register
def _(result: Conflict, own: OwnRegistration, now: float) -> None:
    own._compare(result.found)
    if own._is_there:
        own._due_at = now + own._renew_interval_s
    else:
        own._due_at = now + own._delays.next_delay_s()


@_record.register
def _(result: Renewed, own: OwnRegistration, now: float) -> None:
    own._delays.reset()
    own._due_at = now + own._renew_interval_s


@_record.register
def _(result: LeaseEnded, own: OwnRegistration, now: float) -> None:
    own._forget_lease()
    own._due_at = now + own._delays.next_delay_s()


@_record.register
def _(result: Revoked, own: OwnRegistration, now: float) -> None:
    own._forget_lease()
    own._changed_at = now
    own._due_at = now


@_record.register
def _(result: Failed, own: OwnRegistration, now: float) -> None:
    own._due_at = now + own._delays.next_delay_s()
