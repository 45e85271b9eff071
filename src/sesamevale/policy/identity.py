"""Identities of calls that run at most once, and the tickets behind them.

A ticket names the entry incarnation that issued it and the moment at which
it expires. A caller appends a name of its own choice for each action, and
repeats an action under the same identity.
"""

from __future__ import annotations

import dataclasses
import re

__all__ = ["Identity", "IssuerLocation", "Ticket", "locate_issuer", "parse"]

IDENTITY_PATTERN = re.compile(
    r"(?P<entry>[A-Za-z0-9_.-]{1,64})~(?P<incarnation>\d{1,19})"
    r"~(?P<expires>\d{1,12})~(?P<nonce>[0-9a-f]{16})"
    r"~(?P<action>[A-Za-z0-9_.-]{1,64})"
)


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Permission to name actions.

    Attributes:
        entry_id: Entry that decides about the actions.
        incarnation: Incarnation of that entry.
        expires_s: Time in seconds, on the issuer's clock, from which the
            actions are refused.
        nonce: Random digits that no other caller can guess.
    """

    entry_id: str
    incarnation: int
    expires_s: int
    nonce: str

    def __str__(self) -> str:
        return (
            f"{self.entry_id}~{self.incarnation}~{self.expires_s}~{self.nonce}"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Identity of one action."""

    ticket: Ticket
    action: str

    def __str__(self) -> str:
        return f"{self.ticket}~{self.action}"


@dataclasses.dataclass(frozen=True, slots=True)
class IssuerLocation:
    """Who decides about an identity.

    Attributes:
        is_local: This entry decides.
        peer: Entry that decides, if it is another one that is reachable.
    """

    is_local: bool = False
    peer: str | None = None


def parse(text: str) -> Identity | None:
    """Reads an identity; None if the text is not one of ours.

    Args:
        text: Value of an ``Idempotency-Key`` header, quotes optional.
    """
    matched = IDENTITY_PATTERN.fullmatch(text.strip().strip('"'))
    if matched is None:
        return None
    ticket = Ticket(
        matched["entry"],
        int(matched["incarnation"]),
        int(matched["expires"]),
        matched["nonce"],
    )
    return Identity(ticket, matched["action"])


def locate_issuer(
    identity: Identity,
    own_entry_id: str,
    own_incarnation: int,
    live_incarnations: dict[str, int],
) -> IssuerLocation:
    """Finds the entry that decides about an identity.

    Args:
        identity: The identity.
        own_entry_id: Identifier of this entry.
        own_incarnation: Incarnation of this entry.
        live_incarnations: Incarnations of the reachable entries by identifier.

    Returns:
        Neither ``is_local`` nor ``peer`` if the issuer is gone, in which case
        the call must not run.
    """
    ticket = identity.ticket
    if ticket.entry_id == own_entry_id:
        return IssuerLocation(is_local=ticket.incarnation == own_incarnation)
    if live_incarnations.get(ticket.entry_id) == ticket.incarnation:
        return IssuerLocation(peer=ticket.entry_id)
    return IssuerLocation()
