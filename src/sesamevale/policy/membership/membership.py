"""Membership of the entries by gossip, after the SWIM protocol.

Each period an entry pings one other. If the ping is not acknowledged, other
entries are asked to ping the same one; without an acknowledgement the entry is
suspected, and a suspicion that is not refuted in time marks it dead. Updates
of members are piggybacked on pings and acknowledgements. Source of the
protocol: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent
Infection-style Process Group Membership Protocol", 2002.
"""

from __future__ import annotations

import dataclasses
import functools
import math
from typing import TYPE_CHECKING

from sesamevale.policy.membership import membership_types

if TYPE_CHECKING:
    import random

__all__ = ["Membership", "Timing"]

UPDATES_PER_MESSAGE = 8
ROTATION_MEMBERS_PER_PING = 1
# An update is sent this many times the logarithm of the number of members.
RETRANSMIT_FACTOR = 4
# Members that are asked to ping one that did not acknowledge.
INDIRECT_PROBE_COUNT = 2
# Members that are pinged at once after a change.
IMMEDIATE_PING_COUNT = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Intervals of the protocol in seconds.

    Attributes:
        period_s: Time between two probes.
        ack_timeout_s: Time for an acknowledgement before indirect probes.
        indirect_timeout_s: Time for an acknowledgement of indirect probes.
        suspicion_s: Time in which a suspect can refute.
        dead_ping_s: Time between two pings of dead members.
        dead_memory_s: Time after which a dead member is removed.
    """

    period_s: float = 0.4
    ack_timeout_s: float = 0.25
    indirect_timeout_s: float = 0.25
    suspicion_s: float = 1.0
    dead_ping_s: float = 3.0
    dead_memory_s: float = 600.0


@dataclasses.dataclass(slots=True)
class _Probe:
    subject: str
    deadline: float
    indirect: bool = False


@dataclasses.dataclass(slots=True)
class _ForwardedPing:
    requester: str
    sequence: int


class Membership:
    """Membership view of one entry.

    Args:
        own: Initial state of this entry.
        environment: Environment that the entry serves; others are ignored.
        timing: Intervals of the protocol.
        rng: Source of randomness.
    """

    def __init__(
        self,
        own: membership_types.Member,
        environment: str,
        timing: Timing,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._environment = environment
        self._timing = timing
        self._rng = rng
        self._members: dict[str, membership_types.Member] = {own.entry_id: own}
        self._seeds: dict[tuple[str, int], None] = {}
        # Last member that was known at an address.
        self._holders = {(own.host, own.peer_port): own.entry_id}
        self._probes: dict[int, _Probe] = {}
        self._forwarded: dict[int, _ForwardedPing] = {}
        self._retransmits: dict[str, int] = {}
        self._suspected_at: dict[str, float] = {}
        self._dead_at: dict[str, float] = {}
        self._revisions: dict[str, int] = {}
        self._probe_order: list[str] = []
        self._sequence = 0
        self._rotation_index = 0
        self._next_period_at = -math.inf
        self._next_dead_ping_at = -math.inf
        self._last_tick_at: float | None = None
        self._version = 0
        self._revision = 0
        self._loads: tuple[membership_types.ServiceLoad, ...] = ()
        self._load_reports: dict[
            str, tuple[membership_types.ServiceLoad, ...]
        ] = {}

    @property
    def own(self) -> membership_types.Member:
        """State that this entry announces of itself."""
        return self._own

    @property
    def environment(self) -> str:
        """Environment that the entry serves."""
        return self._environment

    @property
    def version(self) -> int:
        """Counter that increases with each change of a member's state."""
        return self._version

    @property
    def members(self) -> dict[str, membership_types.Member]:
        """All known members by identifier, dead ones included."""
        return dict(self._members)

    @property
    def revisions(self) -> dict[str, int]:
        """Last received document revision of each entry."""
        return dict(self._revisions)

    @property
    def usable(self) -> list[membership_types.Member]:
        """Members that are alive and neither suspected nor leaving."""
        return [
            member
            for member in self._members.values()
            if member.status is membership_types.Status.ALIVE
        ]

    @property
    def reachable(self) -> dict[str, membership_types.Member]:
        """Members that are not dead, suspected and leaving ones included."""
        return {
            name: member
            for name, member in self._members.items()
            if member.status is not membership_types.Status.DEAD
        }

    def take_reports(
        self,
    ) -> dict[str, tuple[membership_types.ServiceLoad, ...]]:
        """Returns and clears the load reports since the last call."""
        reports = self._load_reports
        self._load_reports = {}
        return reports

    def set_revision(self, revision: int) -> None:
        """Sets the document revision that this entry announces."""
        self._revision = revision

    def set_loads(
        self, loads: tuple[membership_types.ServiceLoad, ...]
    ) -> None:
        """Sets the loads that this entry announces."""
        self._loads = loads

    def seed(self, host: str, port: int) -> None:
        """Adds an address that is pinged until its entry is a member."""
        address = host, port
        holder = self._members.get(self._holders.get(address, ""))
        if (
            holder is None
            or holder.status is membership_types.Status.DEAD
            or (holder.host, holder.peer_port) != address
        ):
            self._seeds[address] = None

    def join(self) -> list[membership_types.Send]:
        """Announces that this entry can serve calls."""
        if self._own.status is not membership_types.Status.JOINING:
            return []
        self._set_own_status(membership_types.Status.ALIVE)
        return self._ping_random_members()

    def leave(self) -> list[membership_types.Send]:
        """Announces that this entry is draining."""
        self._set_own_status(membership_types.Status.LEAVING)
        return self._ping_random_members()

    def depart(self) -> list[membership_types.Send]:
        """Announces to all members that this entry no longer answers."""
        self._set_own_status(membership_types.Status.DEAD)
        return [
            self._ping(member, self._next_sequence())
            for member in self._members.values()
            if member.entry_id != self._own.entry_id
            and member.status is not membership_types.Status.DEAD
        ]

    def unreachable(
        self, entry_id: str, now: float
    ) -> list[membership_types.Send]:
        """Records that an entry refused a connection or did not answer probes.

        The entry becomes a suspect, or dead if it was leaving.
        """
        member = self._members.get(entry_id)
        if member is None or member.status in (
            membership_types.Status.SUSPECT,
            membership_types.Status.DEAD,
        ):
            return []
        leaving = member.status is membership_types.Status.LEAVING
        status = (
            membership_types.Status.DEAD
            if leaving
            else membership_types.Status.SUSPECT
        )
        self._merge_update(dataclasses.replace(member, status=status), now)
        return self._ping_random_members()

    @property
    def next_tick_at(self) -> float:
        """Monotonic time in seconds at which ``tick`` must be called."""
        suspicion_s = self._timing.suspicion_s
        times = [self._next_period_at]
        times += [probe.deadline for probe in self._probes.values()]
        times += [since + suspicion_s for since in self._suspected_at.values()]
        return min(times)

    def tick(self, now: float) -> list[membership_types.Send]:
        """Advances the protocol by what is due."""
        if self._paused(now):
            # Acknowledgements and refutations may have arrived unread.
            self._probes.clear()
            self._forwarded.clear()
            for entry_id in self._suspected_at:
                self._suspected_at[entry_id] = now
        self._last_tick_at = now
        sends = self._expire_probes(now)
        self._expire_suspicions(now)
        if now >= self._next_period_at:
            self._next_period_at = now + self._timing.period_s
            sends += self._probe_next(now)
            sends += self._ping_seeds(now)
        if now >= self._next_dead_ping_at:
            self._next_dead_ping_at = now + self._timing.dead_ping_s
            sends += self._ping_dead(now)
        return sends

    def receive(
        self, message: membership_types.Message, now: float
    ) -> list[membership_types.Send]:
        """Handles a message from another entry."""
        if message.environment != self._environment:
            return []
        return _receive(message, self, now)

    def _paused(self, now: float) -> bool:
        """Whether this process did not run for more than two periods."""
        if self._last_tick_at is None:
            return False
        return now - self._last_tick_at > 2 * self._timing.period_s

    def _record_updates(
        self, message: membership_types.UpdateMessage, now: float
    ) -> None:
        for update in message.updates:
            self._merge_update(update, now)
        self._revisions[message.sender] = message.revision
        if message.loads:
            self._load_reports[message.sender] = message.loads

    def _merge_update(
        self, update: membership_types.Member, now: float
    ) -> None:
        """Applies an update if it is newer than the known state."""
        if update.entry_id == self._own.entry_id:
            self._refute(update)
            return
        known = self._members.get(update.entry_id)
        if known is not None and update.precedence <= known.precedence:
            return
        if known is None and update.status is membership_types.Status.DEAD:
            return
        self._members[update.entry_id] = update
        self._retransmits[update.entry_id] = 0
        self._track_status(update, now)
        self._version += 1

    def _track_status(
        self, member: membership_types.Member, now: float
    ) -> None:
        entry_id = member.entry_id
        self._suspected_at.pop(entry_id, None)
        self._dead_at.pop(entry_id, None)
        if member.status is membership_types.Status.SUSPECT:
            self._suspected_at[entry_id] = now
        elif member.status is membership_types.Status.DEAD:
            self._dead_at[entry_id] = now
            self._revisions.pop(entry_id, None)
        address = member.host, member.peer_port
        self._seeds.pop(address, None)
        self._holders[address] = entry_id

    def _refute(self, update: membership_types.Member) -> None:
        own = self._own
        if update.precedence <= own.precedence:
            return
        if update.incarnation > own.incarnation:
            own = dataclasses.replace(own, incarnation=update.incarnation + 1)
        refutation = max(own.refutation, update.refutation) + 1
        self._own = dataclasses.replace(own, refutation=refutation)
        self._announce_own()

    def _set_own_status(self, status: membership_types.Status) -> None:
        refutation = self._own.refutation + 1
        self._own = dataclasses.replace(
            self._own, status=status, refutation=refutation
        )
        self._announce_own()

    def _announce_own(self) -> None:
        self._members[self._own.entry_id] = self._own
        self._retransmits[self._own.entry_id] = 0
        self._version += 1

    def _expire_probes(self, now: float) -> list[membership_types.Send]:
        sends: list[membership_types.Send] = []
        expired = [
            (sequence, probe)
            for sequence, probe in self._probes.items()
            if probe.deadline <= now
        ]
        for sequence, probe in expired:
            if not probe.indirect:
                sends += self._probe_indirectly(sequence, probe, now)
                continue
            del self._probes[sequence]
            sends += self.unreachable(probe.subject, now)
        return sends

    def _probe_indirectly(
        self, sequence: int, probe: _Probe, now: float
    ) -> list[membership_types.Send]:
        probe.indirect = True
        probe.deadline = now + self._timing.indirect_timeout_s
        intermediaries = [
            member
            for member in self.usable
            if member.entry_id not in (probe.subject, self._own.entry_id)
        ]
        count = min(INDIRECT_PROBE_COUNT, len(intermediaries))
        request = membership_types.PingRequest(
            sequence, self._own.entry_id, probe.subject, self._environment
        )
        return [
            membership_types.Send(member.host, member.peer_port, request)
            for member in self._rng.sample(intermediaries, count)
        ]

    def _expire_suspicions(self, now: float) -> None:
        limit = now - self._timing.suspicion_s
        for entry_id, since in list(self._suspected_at.items()):
            if since <= limit:
                member = self._members[entry_id]
                dead = dataclasses.replace(
                    member, status=membership_types.Status.DEAD
                )
                self._merge_update(dead, now)
        remove_before = now - self._timing.dead_memory_s
        for entry_id, since in list(self._dead_at.items()):
            if since <= remove_before:
                del self._dead_at[entry_id]
                member = self._members.pop(entry_id)
                self._holders.pop((member.host, member.peer_port), None)

    def _probe_next(self, now: float) -> list[membership_types.Send]:
        subject = self._next_subject()
        if subject is None:
            return []
        sequence = self._next_sequence()
        deadline = now + self._timing.ack_timeout_s
        self._probes[sequence] = _Probe(subject.entry_id, deadline)
        return [self._ping(subject, sequence)]

    def _next_subject(self) -> membership_types.Member | None:
        """Returns the next member of a random order, reshuffled at its end."""
        for _ in range(2):
            while self._probe_order:
                member = self._members.get(self._probe_order.pop())
                if (
                    member is not None
                    and member.status is not membership_types.Status.DEAD
                ):
                    return member
            self._probe_order = [
                name for name in self._members if name != self._own.entry_id
            ]
            self._rng.shuffle(self._probe_order)
        return None

    def _ping_seeds(self, now: float) -> list[membership_types.Send]:
        return [
            membership_types.Send(
                host, port, self._ping_message(self._next_sequence())
            )
            for host, port in self._seeds
        ]

    def _ping_dead(self, now: float) -> list[membership_types.Send]:
        if not self._dead_at:
            return []
        entry_id = self._rng.choice(sorted(self._dead_at))
        member = self._members[entry_id]
        return [self._ping(member, self._next_sequence())]

    def _ping_random_members(self) -> list[membership_types.Send]:
        """Pings a few members at once instead of in the next period."""
        others = [
            member
            for member in self._members.values()
            if member.entry_id != self._own.entry_id
            and member.status is not membership_types.Status.DEAD
        ]
        count = min(IMMEDIATE_PING_COUNT, len(others))
        return [
            self._ping(member, self._next_sequence())
            for member in self._rng.sample(others, count)
        ]

    def _ping(
        self, subject: membership_types.Member, sequence: int
    ) -> membership_types.Send:
        message = self._ping_message(sequence, subject)
        return membership_types.Send(subject.host, subject.peer_port, message)

    def _ping_message(
        self, sequence: int, subject: membership_types.Member | None = None
    ) -> membership_types.Ping:
        return membership_types.Ping(
            sequence,
            self._own.entry_id,
            self._environment,
            self._revision,
            self._select_updates(subject) + self._select_in_rotation(),
            self._loads,
        )

    def _select_updates(
        self, subject: membership_types.Member | None
    ) -> tuple[membership_types.Member, ...]:
        """Selects the updates of one message, the least often sent first.

        The own state is always included, and so is that of a subject that is
        not alive, so that the subject can refute it.
        """
        chosen: dict[str, membership_types.Member] = {
            self._own.entry_id: self._own
        }
        if (
            subject is not None
            and subject.status is not membership_types.Status.ALIVE
        ):
            chosen[subject.entry_id] = subject
        limit = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self._members) + 1))
        for entry_id in sorted(
            self._retransmits, key=lambda name: self._retransmits[name]
        ):
            if len(chosen) >= UPDATES_PER_MESSAGE:
                break
            self._retransmits[entry_id] += 1
            if self._retransmits[entry_id] >= limit:
                del self._retransmits[entry_id]
            if entry_id in self._members:
                chosen[entry_id] = self._members[entry_id]
        return tuple(chosen.values())

    def _select_in_rotation(self) -> tuple[membership_types.Member, ...]:
        """Selects members in rotation, which makes up for lost updates."""
        names = sorted(self._members)
        chosen = [
            self._members[names[(self._rotation_index + offset) % len(names)]]
            for offset in range(min(ROTATION_MEMBERS_PER_PING, len(names)))
        ]
        self._rotation_index += ROTATION_MEMBERS_PER_PING
        return tuple(chosen)

    def _send_all_members(
        self, receiver: membership_types.Member
    ) -> list[membership_types.Send]:
        """Returns pings that carry all members to an unknown or dead entry."""
        members = list(self._members.values())
        sends = []
        for start in range(0, len(members), UPDATES_PER_MESSAGE):
            updates = tuple(members[start : start + UPDATES_PER_MESSAGE])
            message = membership_types.Ping(
                self._next_sequence(),
                self._own.entry_id,
                self._environment,
                self._revision,
                updates,
            )
            sends.append(
                membership_types.Send(
                    receiver.host, receiver.peer_port, message
                )
            )
        return sends

    def _is_reachable(self, entry_id: str) -> bool:
        member = self._members.get(entry_id)
        return (
            member is not None
            and member.status is not membership_types.Status.DEAD
        )

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence


@functools.singledispatch
def _receive(
    message: membership_types.Message, view: Membership, now: float
) -> list[membership_types.Send]:
    raise TypeError(f"no handler for {type(message).__name__}")


@_receive.register
def _(
    message: membership_types.Ping, view: Membership, now: float
) -> list[membership_types.Send]:
    known = view._is_reachable(message.sender)
    view._record_updates(message, now)
    sender = view._members.get(message.sender)
    if sender is None:
        return []
    introduction = [] if known else view._send_all_members(sender)
    ack = membership_types.Ack(
        message.sequence,
        view._own.entry_id,
        view._environment,
        view._revision,
        view._select_updates(sender),
        view._loads,
    )
    return [
        membership_types.Send(sender.host, sender.peer_port, ack),
        *introduction,
    ]


@_receive.register
def _(
    message: membership_types.Ack, view: Membership, now: float
) -> list[membership_types.Send]:
    view._record_updates(message, now)
    view._probes.pop(message.sequence, None)
    forwarded = view._forwarded.pop(message.sequence, None)
    if forwarded is None:
        return []
    requester = view._members.get(forwarded.requester)
    if requester is None:
        return []
    ack = dataclasses.replace(
        message,
        sequence=forwarded.sequence,
        sender=view._own.entry_id,
        revision=view._revision,
        loads=(),
    )
    return [membership_types.Send(requester.host, requester.peer_port, ack)]


@_receive.register
def _(
    message: membership_types.PingRequest, view: Membership, now: float
) -> list[membership_types.Send]:
    subject = view._members.get(message.subject)
    if subject is None:
        return []
    sequence = view._next_sequence()
    view._forwarded[sequence] = _ForwardedPing(message.sender, message.sequence)
    return [view._ping(subject, sequence)]
