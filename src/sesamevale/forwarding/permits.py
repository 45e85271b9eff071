"""Admission of tenants' requests, and the permits that their attempts need.

A permit says that the tenant's key is still held and that its quota has room
for one attempt at this moment. The task that gives them out may have to ask
other entries. A request is admitted first, so that one that is over the quota
is refused before it waits for an upstream.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from sesamevale.forwarding import messages
from sesamevale.policy.admission import quota_types as types
from sesamevale.policy.calls import forwarding

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamevale import routes

__all__ = [
    "AskAdmission",
    "AskPermit",
    "Dismiss",
    "Message",
    "Permits",
    "ReturnPermit",
]


@dataclasses.dataclass(frozen=True, slots=True)
class AskAdmission:
    """Asks whether a request may wait for an upstream.

    Attributes:
        tenant: Name of the tenant.
        key_digest: Digest of the key that the request carried.
        reply: Called with the verdict.
    """

    tenant: str
    key_digest: str
    reply: Callable[[types.Verdict], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Dismiss:
    """An admitted request is sent or has ended.

    Attributes:
        tenant: Name of the tenant.
    """

    tenant: str


@dataclasses.dataclass(frozen=True, slots=True)
class AskPermit:
    """Asks for a permit for one attempt.

    Attributes:
        tenant: Name of the tenant.
        key_digest: Digest of the key that the request carried.
        reply: Called with the verdict.
    """

    tenant: str
    key_digest: str
    reply: Callable[[types.Verdict], None]


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnPermit:
    """Returns a permit of this entry's own share that was not used.

    Attributes:
        tenant: Name of the tenant.
        until: When the permit expires.
    """

    tenant: str
    until: float


Message = AskAdmission | Dismiss | AskPermit | ReturnPermit


class Permits:
    """Permits of the requests of one service.

    Args:
        ask: Sends a message to the task that gives out permits; None if no
            request needs one.
        send: Sends a message to the task of the service.
    """

    def __init__(
        self,
        ask: Callable[[Message], None] | None,
        send: Callable[[messages.Message], None],
    ) -> None:
        self._ask = ask
        self._send = send

    def admits(self, active_request: messages.ActiveRequest) -> bool:
        """Whether a request needs no admission; asks for it if it does."""
        tenant = active_request.request.tenant
        if self._ask is None or tenant is None:
            return True
        self._send_ask(AskAdmission, active_request, tenant)
        return False

    def covers(
        self, active_request: messages.ActiveRequest, now: float
    ) -> bool:
        """Whether an attempt may begin now; asks for a permit if it may not.

        Args:
            active_request: The request.
            now: Monotonic time in seconds.
        """
        tenant = active_request.request.tenant
        if self._ask is None or tenant is None:
            return True
        permit = active_request.permit
        if permit is not None and now < permit.until:
            return True
        active_request.permit = None
        if not active_request.awaits_permit:
            self._send_ask(AskPermit, active_request, tenant)
        return False

    def spend(self, active_request: messages.ActiveRequest) -> None:
        """Uses the permit for an attempt that begins."""
        active_request.used_permit = active_request.permit
        active_request.permit = None
        self._dismiss(active_request)

    def attempt_ended(
        self, active_request: messages.ActiveRequest, result: forwarding.Result
    ) -> None:
        """Keeps the permit of an attempt that no upstream ran."""
        if isinstance(result, forwarding.Rejected | forwarding.NotSent):
            active_request.permit = active_request.used_permit
        active_request.used_permit = None

    def give_back(self, active_request: messages.ActiveRequest) -> None:
        """Returns what a request that has ended did not use."""
        permit, active_request.permit = active_request.permit, None
        if permit is not None:
            self._return(active_request.request.tenant, permit)
        self._dismiss(active_request)

    def give_back_late(self, decided: messages.PermitDecided) -> None:
        """Returns what was decided on a request that has ended already."""
        tenant, verdict = decided.request.tenant, decided.verdict
        if isinstance(verdict, types.Granted):
            self._return(tenant, verdict)
        if isinstance(verdict, types.Admitted) and self._ask and tenant:
            self._ask(Dismiss(tenant.name))

    def _send_ask(
        self,
        kind: type[AskAdmission | AskPermit],
        active_request: messages.ActiveRequest,
        tenant: routes.Tenant,
    ) -> None:
        assert self._ask is not None
        request = active_request.request
        active_request.awaits_permit = True
        self._ask(
            kind(
                tenant.name,
                request.key_digest or "",
                lambda verdict: self._send(
                    messages.PermitDecided(request, verdict)
                ),
            )
        )

    def _dismiss(self, active_request: messages.ActiveRequest) -> None:
        tenant = active_request.request.tenant
        if not active_request.is_admitted or tenant is None:
            return
        active_request.is_admitted = False
        if self._ask is not None:
            self._ask(Dismiss(tenant.name))

    def _return(
        self, tenant: routes.Tenant | None, permit: types.Granted
    ) -> None:
        if self._ask is not None and tenant is not None and permit.is_own:
            self._ask(ReturnPermit(tenant.name, permit.until))
