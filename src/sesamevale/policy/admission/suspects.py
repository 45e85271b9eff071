"""Requests under which upstreams have ended.

A request that crashes the upstream that runs it would be sent to the next one,
and its caller's repeats are new attempts. Entries therefore remember which
requests were running when an upstream ended, by a hash of their content, and
tell each other. An upstream that ends takes innocent requests with it. They
are told from the deadly one by what happens next: an answer clears a request,
and an upstream's end is put down to the request under which most have ended.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import hashlib
import math

__all__ = [
    "CLEARED",
    "Judgement",
    "Suspects",
    "Suspicion",
    "Verdict",
    "fingerprint",
    "kind_of",
]

# Ends of upstreams from which on a request is not sent any more: those that are
# put down to it, and all under which it was running.
DEATHS_MAX = 2
SHARED_DEATHS_MAX = 3
# Time after the last of them for which it is refused at least. Two may be
# chance; from three on, it doubles with each further one, up to the maximum.
# Entries refuse it for up to twice that, each for a time of its own, so that
# one entry tries it again first.
FIRST_REFUSAL_S = 5.0
REFUSAL_S = 40.0
REFUSAL_MAX_S = 320.0
# Longest time for which one attempt of a suspect is waited for before another
# one may be sent.
TRIAL_MAX_S = 2.0
# Retry-After of a suspect while another attempt of it is running.
TRIAL_RETRY_S = 0.25
# Different requests of one kind to which ends within a time are put down. From
# this number on, one end is enough to refuse a request of that kind, and its
# attempts are not repeated.
KIND_CULPRITS_MAX = 4
KIND_WINDOW_S = 10.0
# Most requests that are remembered.
REQUESTS_MAX = 4096
HASH_BITS = 32
# Bytes of the start and of the end of a long body that are hashed.
BODY_PART_BYTES = 32 * 1024
# Stands for no upstream: the request has been answered.
CLEARED = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """A request was running when an upstream ended, or has been answered.

    Attributes:
        request: Fingerprint of the request, 64 bits.
        kind: Hash of its service and route, 32 bits.
        upstream: Hash of the upstream's instance, 32 bits; ``CLEARED`` if the
            request has been answered since.
        at: Monotonic time in seconds.
    """

    request: int
    kind: int
    upstream: int
    at: float


class Verdict(enum.Enum):
    """What is done with a request."""

    SEND = enum.auto()
    TRY_ALONE = enum.auto()
    REFUSE = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Judgement:
    """Verdict on a request.

    Attributes:
        verdict: What is done with it.
        retry_after_s: Time in seconds until it may be sent; 0 if it may.
    """

    verdict: Verdict
    retry_after_s: float = 0.0


def fingerprint(
    key: bytes, method: bytes, target: bytes, edges: bytes, length: int
) -> int:
    """Returns 64 bits that are equal for requests of the same content.

    Only the start, the end and the length of a long body count.

    Args:
        key: Key of the hash, at most 64 bytes, the same at all entries.
        method: HTTP method.
        target: Request target.
        edges: First and last ``BODY_PART_BYTES`` of the body, or all of a
            shorter one.
        length: Length of the body in bytes.
    """
    digest = hashlib.blake2b(key=key[:64], digest_size=8)
    for part in (method, target, b"%d" % length, edges):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return int.from_bytes(digest.digest(), "big")


def kind_of(*names: str) -> int:
    """Returns 32 bits that are equal for the same names; never ``CLEARED``."""
    text = "\x00".join(names).encode()
    digest = hashlib.blake2b(text, digest_size=HASH_BITS // 8).digest()
    return int.from_bytes(digest, "big") or 1


class Suspects:
    """What is known of requests under which upstreams have ended.

    Args:
        entry_id: Identifier of this entry.
    """

    def __init__(self, entry_id: str) -> None:
        self._entry_id = entry_id
        # Ends of upstreams by request, with their times. A request is kept at
        # its place of first suspicion.
        self._deaths: dict[int, dict[int, float]] = {}
        self._requests_of: dict[int, set[int]] = {}
        self._kinds: dict[int, dict[int, float]] = {}
        self._cleared: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self._trials: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._deaths)

    def record(self, suspicion: Suspicion, now: float) -> bool:
        """Records what happened to a request, here or at another entry.

        Args:
            suspicion: What happened.
            now: Monotonic time in seconds.

        Returns:
            Whether it was not known.
        """
        if suspicion.upstream == CLEARED:
            return self._clear(suspicion.request, suspicion.at)
        request, upstream = suspicion.request, suspicion.upstream
        if suspicion.at <= self._cleared.get(request, -math.inf):
            return False
        known = self._deaths.setdefault(request, {})
        if upstream in known:
            return False
        known[upstream] = suspicion.at
        self._trials.pop(request, None)
        self._requests_of.setdefault(upstream, set()).add(request)
        self._kinds.setdefault(suspicion.kind, {})[upstream] = suspicion.at
        self.forget(now)
        return True

    def judge(self, request: int, kind: int, now: float) -> Judgement:
        """Decides whether a request may be sent.

        Args:
            request: Its fingerprint.
            kind: Hash of its service and route.
            now: Monotonic time in seconds.
        """
        known = self._deaths.get(request)
        if not known:
            return Judgement(Verdict.SEND)
        blamed_count = sum(self._blames(each, request) for each in known)
        refused_until = max(known.values()) + (
            1.0 + self._turn_of(request)
        ) * _refusal_s(len(known))
        is_refused = (
            blamed_count >= DEATHS_MAX
            or len(known) >= SHARED_DEATHS_MAX
            or (blamed_count > 0 and self._is_under_attack(kind, now))
        )
        if is_refused and now < refused_until:
            return Judgement(Verdict.REFUSE, refused_until - now)
        if not blamed_count:
            return Judgement(Verdict.SEND)
        if now < self._trials.get(request, -math.inf):
            return Judgement(Verdict.REFUSE, TRIAL_RETRY_S)
        return Judgement(Verdict.TRY_ALONE)

    def may_repeat(self, request: int, kind: int, now: float) -> bool:
        """Whether an attempt is followed by another after an upstream's end.

        Args:
            request: Fingerprint of the request.
            kind: Hash of its service and route.
            now: Monotonic time in seconds.
        """
        if self.judge(request, kind, now).verdict is Verdict.REFUSE:
            return False
        return not self._is_under_attack(kind, now)

    def begin_trial(self, request: int, now: float) -> None:
        """Records that a suspect is sent."""
        if request in self._deaths:
            self._trials[request] = now + TRIAL_MAX_S

    def end_trial(self, request: int) -> None:
        """Records that an attempt of a suspect has ended without harm."""
        self._trials.pop(request, None)

    def is_suspect(self, request: int) -> bool:
        """Whether an upstream has ended under a request since its answer."""
        return request in self._deaths

    def forget(self, now: float) -> None:
        """Drops what is old, and the oldest of what is too much.

        Args:
            now: Monotonic time in seconds.
        """
        for request, known in list(self._deaths.items()):
            kept_s = REFUSAL_S + 2.0 * _refusal_s(len(known))
            if now - max(known.values()) > kept_s:
                self._drop_request(request)
        while len(self._deaths) > REQUESTS_MAX:
            self._drop_request(next(iter(self._deaths)))
        for kind, deaths in list(self._kinds.items()):
            for upstream, at in list(deaths.items()):
                if now - at > KIND_WINDOW_S:
                    del deaths[upstream]
            if not deaths:
                del self._kinds[kind]

    def _turn_of(self, request: int) -> float:
        """Returns when this entry tries a request again, between 0 and 1."""
        return kind_of(self._entry_id, f"{request:x}") / 2.0**HASH_BITS

    def _clear(self, request: int, at: float) -> bool:
        """Drops the ends of upstreams before a request's answer."""
        if at <= self._cleared.get(request, -math.inf):
            return False
        self._cleared[request] = at
        self._cleared.move_to_end(request)
        if len(self._cleared) > REQUESTS_MAX:
            self._cleared.popitem(last=False)
        known = self._deaths.get(request, {})
        for upstream in [each for each in known if known[each] <= at]:
            self._drop(request, upstream)
        self._trials.pop(request, None)
        return True

    def _blames(self, upstream: int, request: int) -> bool:
        """Whether no other request explains the end of an upstream better."""
        own = self._rank(request)
        return all(
            self._rank(other) <= own for other in self._requests_of[upstream]
        )

    def _rank(self, request: int) -> tuple[bool, int]:
        """Returns how well a request explains an end; a higher rank is better.

        One that has never been answered is a better explanation than one that
        has been, and one under which several upstreams have ended than others.
        """
        count = len(self._deaths[request])
        return request not in self._cleared, max(count, DEATHS_MAX - 1)

    def _is_under_attack(self, kind: int, now: float) -> bool:
        """Whether upstreams end under many different requests of a kind."""
        culprits = {
            self._likeliest_culprit(upstream)
            for upstream, at in self._kinds.get(kind, {}).items()
            if now - at <= KIND_WINDOW_S and upstream in self._requests_of
        }
        return len(culprits) >= KIND_CULPRITS_MAX

    def _likeliest_culprit(self, upstream: int) -> int:
        """Returns the request that explains an upstream's end best."""
        return max(
            self._requests_of[upstream],
            key=lambda each: (self._rank(each), each),
        )

    def _drop_request(self, request: int) -> None:
        for upstream in list(self._deaths[request]):
            self._drop(request, upstream)

    def _drop(self, request: int, upstream: int) -> None:
        known = self._deaths[request]
        del known[upstream]
        if not known:
            del self._deaths[request]
            self._trials.pop(request, None)
        beside = self._requests_of[upstream]
        beside.discard(request)
        if not beside:
            del self._requests_of[upstream]


def _refusal_s(deaths: int) -> float:
    """Returns for how long a request with so many ends is refused."""
    if deaths < SHARED_DEATHS_MAX:
        return FIRST_REFUSAL_S
    return min(REFUSAL_MAX_S, REFUSAL_S * 2.0 ** (deaths - SHARED_DEATHS_MAX))
