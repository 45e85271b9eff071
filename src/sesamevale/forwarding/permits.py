"""Permits that the attempts of tenants' requests need.

A permit says that the tenant's key is still held and that its quota has room
for one attempt. The task that gives them out may have to ask other entries.
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

__all__ = ["AskPermit", "Message", "Permits", "ReturnPermit"]


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
    """

    tenant: str


Message = AskPermit | ReturnPermit


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

    def covers(
        self, active_request: messages.ActiveRequest, now: float
    ) -> bool:
        """Whether an attempt may begin now; asks for a permit if it may not.

        Args:
            active_request: The request.
            now: Monotonic time in seconds.
        """
        request = active_request.request
        if self._ask is None or request.tenant is None:
            return True
        permit = active_request.permit
        if permit is not None and now < permit.until:
            return True
        self.give_back(active_request)
        if not active_request.awaits_permit:
            active_request.awaits_permit = True
            self._ask(
                AskPermit(
                    request.tenant.name,
                    request.key_digest or "",
                    lambda verdict: self._send(
                        messages.PermitDecided(request, verdict)
                    ),
                )
            )
        return False

    def spend(self, active_request: messages.ActiveRequest) -> None:
        """Uses the permit for an attempt that begins."""
        active_request.used_permit = active_request.permit
        active_request.permit = None

    def attempt_ended(
        self, active_request: messages.ActiveRequest, result: forwarding.Result
    ) -> None:
        """Keeps the permit of an attempt that no upstream ran."""
        if isinstance(result, forwarding.Rejected | forwarding.NotSent):
            active_request.permit = active_request.used_permit
        active_request.used_permit = None

    def give_back(self, active_request: messages.ActiveRequest) -> None:
        """Returns a permit that is not going to be used."""
        permit, active_request.permit = active_request.permit, None
        if permit is not None:
            self._return(active_request.request.tenant, permit)

    def give_back_late(self, decided: messages.PermitDecided) -> None:
        """Returns a permit whose request has ended already."""
        if isinstance(decided.verdict, types.Granted):
            self._return(decided.request.tenant, decided.verdict)

    def _return(
        self, tenant: routes.Tenant | None, permit: types.Granted
    ) -> None:
        if self._ask is not None and tenant is not None and permit.is_own:
            self._ask(ReturnPermit(tenant.name))
