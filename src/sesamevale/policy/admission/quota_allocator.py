"""Decision of one entry on the requests of tenants with a rate limit."""

from __future__ import annotations

import functools
import itertools
import math
from typing import TYPE_CHECKING

from sesamevale.policy.admission import quota_members
from sesamevale.policy.admission import quota_shares
from sesamevale.policy.admission import quota_types as types
from sesamevale.policy.admission import tenant_use
from sesamevale.policy.balancing import rendezvous

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable
    from collections.abc import Mapping

    from sesamevale import resources
    from sesamevale import routes
    from sesamevale.policy.membership import registered_peers

__all__ = ["QuotaAllocator"]

# Time after which another holder is asked.
ASK_TIMEOUT_S = 0.08
# Largest number of holders that are asked for one request.
ASK_TRIES_MAX = 6
# Spread of the times at which refused callers return, as a part of them.
RETURN_SPREAD = 0.2


class QuotaAllocator:
    """Gives out permits for requests, from its own shares or other entries'.

    Args:
        entry_id: Identifier of this entry.
        data_center: Data centre of this entry.
        bounds: Bounds of quotas; None to admit all requests.
        rng: Source of randomness.
    """

    def __init__(
        self,
        entry_id: str,
        data_center: str,
        bounds: resources.QuotaBounds | None,
        rng: random.Random,
    ) -> None:
        self._entry_id = entry_id
        self._bounds = bounds
        self._rng = rng
        self._members = quota_members.QuotaMembers(entry_id, data_center)
        self._tenants: Mapping[str, routes.Tenant] = {}
        self._uses: dict[str, tenant_use.TenantUse] = {}
        # When a tenant's limit became known, in monotonic seconds.
        self._known_at: dict[str, float] = {}
        self._numbers = itertools.count(rng.randrange(1 << 32))
        # Tenant, holder and time of the questions whose answers may be used.
        self._asked: dict[int, tuple[str, str, float]] = {}

    @property
    def uses(self) -> Mapping[str, tenant_use.TenantUse]:
        """Use of the quotas that this entry has met, by tenant."""
        return self._uses

    @property
    def next_tick_at(self) -> float:
        """Monotonic time in seconds at which ``tick`` is due."""
        return min(
            (
                each.pending.sent_at + ASK_TIMEOUT_S
                for each in self._uses.values()
                if each.pending is not None
            ),
            default=math.inf,
        )

    def set_members(
        self,
        peers: Iterable[registered_peers.Peer],
        read_at: float,
        now: float,
    ) -> None:
        """Sets the entries that share the quotas.

        Args:
            peers: All registered entries.
            read_at: When they were read, in monotonic seconds.
            now: Monotonic time in seconds.
        """
        self._members.record_read(peers, read_at, now)

    def set_tenants(
        self, tenants: Mapping[str, routes.Tenant], now: float
    ) -> list[types.Effect]:
        """Sets the tenants of the configuration in force."""
        self._tenants = tenants
        self._known_at = {
            name: self._known_at.get(name, now)
            for name in tenants
            if self._is_limited(name)
        }
        effects: list[types.Effect] = []
        for name, use in list(self._uses.items()):
            if self._is_limited(name):
                self._refresh(use, now)
                continue
            effects += self._grant_all(use, now)
            del self._uses[name]
        return effects

    def admit(self, name: str, now: float) -> types.Verdict:
        """Decides whether a request may wait for an upstream.

        Over the quota, it is refused at once. Room is not used up before the
        request is sent, so that it is not sent together with others that are
        admitted while it waits.

        Args:
            name: Name of the tenant.
            now: Monotonic time in seconds.
        """
        if not self._is_limited(name):
            return types.Admitted()
        use = self._use(name, now)
        if use.may_admit(now) and self._may_find_room(use, now):
            use.admitted_count += 1
            return types.Admitted()
        use.record_verdict(admitted=False, now=now)
        return self._refusal(use, now)

    def dismiss(self, name: str) -> None:
        """Forgets an admitted request, since it is sent or has ended."""
        use = self._uses.get(name)
        if use is not None:
            use.admitted_count = max(0, use.admitted_count - 1)

    def request(self, ticket: int, name: str, now: float) -> list[types.Effect]:
        """Asks for a permit for one attempt of a request.

        Args:
            ticket: Identifies the request for a permit.
            name: Name of the tenant.
            now: Monotonic time in seconds.

        Returns:
            Effects, with the verdict unless other entries are asked first.
        """
        if not self._is_limited(name):
            until = now + quota_shares.PERMIT_S
            return [types.Decided(ticket, types.Granted(until))]
        use = self._use(name, now)
        use.waiting.append(ticket)
        return self._serve(use, 0, now)

    def give_back(self, name: str, until: float, now: float) -> None:
        """Takes back a permit that this entry granted and did not use.

        Args:
            name: Name of the tenant.
            until: When the permit expires.
            now: Monotonic time in seconds.
        """
        if self._is_limited(name):
            self._use(name, now).give_back(until, now)

    def receive(
        self, message: types.Message, host: str, port: int, now: float
    ) -> list[types.Effect]:
        """Handles a message.

        Args:
            message: The message.
            host: IP address that it came from.
            port: UDP port that it came from.
            now: Monotonic time in seconds.
        """
        return _receive(message, self, host, port, now)

    def tick(self, now: float) -> list[types.Effect]:
        """Handles the questions that have not been answered in time."""
        effects: list[types.Effect] = []
        for use in list(self._uses.values()):
            pending = use.pending
            if pending is None or pending.sent_at + ASK_TIMEOUT_S > now:
                continue
            use.pending = None
            use.record_silence(pending.holder, now)
            effects += self._serve(use, pending.tries, now)
        self._asked = {
            number: asked
            for number, asked in self._asked.items()
            if asked[2] + quota_shares.PERMIT_S > now
        }
        return effects

    def _is_limited(self, name: str) -> bool:
        tenant = self._tenants.get(name)
        limited = tenant is not None and tenant.rate_per_s is not None
        return limited and self._bounds is not None

    def _use(self, name: str, now: float) -> tenant_use.TenantUse:
        use = self._uses.get(name)
        if use is None:
            use = tenant_use.TenantUse(
                self._tenants[name], self._known_at[name]
            )
            self._uses[name] = use
        self._refresh(use, now)
        return use

    def _refresh(self, use: tenant_use.TenantUse, now: float) -> None:
        """Updates a share if what it follows from has changed."""
        assert self._bounds is not None
        tenant = self._tenants[use.tenant.name]
        is_stale = self._members.is_stale(now)
        has_joined = self._members.has_joined(now)
        basis = (self._members.version, is_stale, has_joined)
        if use.basis == basis and use.tenant is tenant:
            return
        entry_ids = self._members.entry_ids
        share = quota_shares.divide(tenant, self._bounds, len(entry_ids))
        use.basis = basis
        use.holders = self._by_preference(
            quota_shares.choose_holders(
                tenant.name, entry_ids, share.holder_count
            )
        )
        use.set_share(
            tenant,
            share,
            is_holder=has_joined and self._entry_id in use.holders,
            has_joined=has_joined,
            is_stale=is_stale,
            now=now,
        )

    def _serve(
        self, use: tenant_use.TenantUse, tries: int, now: float
    ) -> list[types.Effect]:
        """Decides on the waiting requests, or asks another holder for them.

        Args:
            use: Use of the tenant's quota.
            tries: Number of holders that have been asked in a row.
            now: Monotonic time in seconds.
        """
        effects: list[types.Effect] = []
        while use.waiting:
            taken = use.take(now)
            if taken is None:
                break
            use.record_verdict(admitted=True, now=now)
            verdict = types.Granted(*taken)
            effects.append(types.Decided(use.waiting.popleft(), verdict))
        if not use.waiting or use.pending is not None:
            return effects
        holder = self._choose_holder(use, now)
        if holder is None or tries >= ASK_TRIES_MAX or use.is_paused(now):
            if holder is not None and not use.is_paused(now):
                use.pause(now)
            return effects + self._refuse_all(use, now)
        return [*effects, self._ask(use, holder, tries, now)]

    def _may_find_room(self, use: tenant_use.TenantUse, now: float) -> bool:
        """Whether this entry or another may have room for a request."""
        if use.left(now) >= 1.0:
            return True
        holder = self._choose_holder(use, now)
        return holder is not None and not use.is_paused(now)

    def _choose_holder(
        self, use: tenant_use.TenantUse, now: float
    ) -> registered_peers.Peer | None:
        """Returns the holder to ask; None if none may have room.

        It is the one with the most room, by what the holders said last, and
        of several such ones the first by preference.
        """
        best, best_left = None, -math.inf
        for entry_id in use.holders:
            peer = self._members.peer(entry_id)
            if peer is None or use.most_left(entry_id, now) < 1.0:
                continue
            left = use.expected_left(entry_id, now)
            if left > best_left:
                best, best_left = peer, left
        return best

    def _by_preference(self, holders: tuple[str, ...]) -> tuple[str, ...]:
        """Orders holders: near ones first, and differently at each entry."""

        def rank(entry_id: str) -> tuple[bool, float]:
            peer = self._members.peer(entry_id)
            is_near = peer is not None and self._members.is_near(peer)
            return is_near, rendezvous.score(self._entry_id, entry_id)

        return tuple(sorted(holders, key=rank, reverse=True))

    def _ask(
        self,
        use: tenant_use.TenantUse,
        holder: registered_peers.Peer,
        tries: int,
        now: float,
    ) -> types.Transmit:
        number = next(self._numbers)
        entry_id = holder.entry_id
        use.pending = tenant_use.PendingAsk(number, entry_id, now, tries + 1)
        self._asked[number] = (use.tenant.name, entry_id, now)
        ask = types.Ask(number, use.tenant.name, use.ask_count(now))
        return types.Transmit(holder.host, holder.entry_port, ask)

    def _refuse_all(
        self, use: tenant_use.TenantUse, now: float
    ) -> list[types.Effect]:
        effects: list[types.Effect] = []
        while use.waiting:
            use.record_verdict(admitted=False, now=now)
            verdict = self._refusal(use, now)
            effects.append(types.Decided(use.waiting.popleft(), verdict))
        return effects

    def _refusal(
        self, use: tenant_use.TenantUse, now: float
    ) -> types.OverQuota | types.Unreachable:
        reached = use.is_holder or any(
            self._members.peer(each) is not None
            and not use.is_silent(each, now)
            for each in use.holders
        )
        if not reached:
            return types.Unreachable()
        assert self._bounds is not None
        after_s = use.next_return_s(self._bounds.window_s, now)
        spread = 1.0 + RETURN_SPREAD * (2.0 * self._rng.random() - 1.0)
        return types.OverQuota(after_s * spread)

    def _grant_all(
        self, use: tenant_use.TenantUse, now: float
    ) -> list[types.Effect]:
        """Admits the waiting requests of a tenant without a limit."""
        granted = types.Granted(now + quota_shares.PERMIT_S)
        return [types.Decided(ticket, granted) for ticket in use.waiting]


@functools.singledispatch
def _receive(
    message: types.Message,
    allocator: QuotaAllocator,
    host: str,
    port: int,
    now: float,
) -> list[types.Effect]:
    raise TypeError(f"no handler for {type(message).__name__}")


@_receive.register
def _(
    message: types.Ask,
    allocator: QuotaAllocator,
    host: str,
    port: int,
    now: float,
) -> list[types.Effect]:
    count, left = 0, 0.0
    if allocator._is_limited(message.tenant):
        use = allocator._use(message.tenant, now)
        count = use.withdraw(max(0, message.count), now)
        left = use.left(now)
    grant = types.Grant(message.number, count, left)
    return [types.Transmit(host, port, grant)]


@_receive.register
def _(
    message: types.Grant,
    allocator: QuotaAllocator,
    host: str,
    port: int,
    now: float,
) -> list[types.Effect]:
    asked = allocator._asked.pop(message.number, None)
    if asked is None:
        return []
    name, holder, sent_at = asked
    use = allocator._uses.get(name)
    if use is None:
        return []
    allocator._refresh(use, now)
    use.borrow(message.count, sent_at + quota_shares.PERMIT_S)
    use.record_left(holder, message.left, now)
    tries = 0
    if use.pending is not None and use.pending.number == message.number:
        tries = 0 if message.count else use.pending.tries
        use.pending = None
    return allocator._serve(use, tries, now)
