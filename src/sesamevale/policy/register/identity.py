"""Identities of calls that run at most once, and the tickets behind them.

A ticket contains the entry incarnation that issued it and its expiry time. A
caller appends a name of its own choice for each action, and uses the same
identity to repeat the action.
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
    """Permission to name actions, issued by an entry.

    Attributes:
        entry_id: Entry that issued it and decides whether the actions run.
        incarnation: Incarnation of that entry.
        expires_s: Time in seconds, on the issuer's clock, from which the
            actions are refused.
        nonce: Random hexadecimal digits that no other caller can guess.
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
    """Identity of one action.

    Attributes:
        ticket: Ticket of the caller.
        action: Name that the caller gave to the action.
    """

    ticket: Ticket
    action: str

    def __str__(self) -> str:
        return f"{self.ticket}~{self.action}"


@dataclasses.dataclass(frozen=True, slots=True)
class IssuerLocation:
    """Location of the issuer of an identity.

    Attributes:
        is_local: Whether this incarnation of this entry issued it.
        peer: Entry that issued it, if it is another one that is reachable.
    """

    is_local: bool = False
    peer: str | None = None


def parse(text: str) -> Identity | None:
    """Parses an identity; returns None if the text does not have its form.

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
    """Finds the entry that issued an identity.

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
