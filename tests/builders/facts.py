"""Builders of small values for tests of decisions."""

from __future__ import annotations

from sesamevale.policy import dispatch
from sesamevale.policy import following
from sesamevale.policy import identity
from sesamevale.policy import membership


def call_facts(call_id: int, **changes: object) -> dispatch.CallFacts:
    values = {
        "call_id": call_id,
        "caller": "10.0.0.1",
        "priority": 1,
        "deadline": 10.0,
        "repeatable": True,
        "replayable": True,
        "hedge": False,
        "retries": 2,
        "hops": 0,
    }
    return dispatch.CallFacts(**(values | changes))


def member(
    entry_id: str,
    incarnation: int = 1,
    status: membership.Status = membership.Status.ALIVE,
    port: int = 7000,
) -> membership.Member:
    return membership.Member(
        entry_id, incarnation, 0, status, "rhondda", entry_id, port, port
    )


def action(
    name: str = "a1",
    entry_id: str = "e1",
    incarnation: int = 1,
    expires_s: int = 1000,
) -> identity.Identity:
    ticket = identity.Ticket(entry_id, incarnation, expires_s, "0" * 16)
    return identity.Identity(ticket, name)


def manifest(
    revision: int,
    parts: dict[str, str] | None = None,
    base: int = 0,
    change_id: str = "",
) -> following.Manifest:
    named = parts or {"settings": f"digest-{revision}"}
    return following.Manifest(
        "test",
        revision,
        change_id or f"change-{revision}",
        base,
        "test",
        0,
        tuple(sorted(named.items())),
    )
