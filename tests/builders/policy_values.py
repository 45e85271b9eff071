"""Builders of values for unit tests of ``sesamevale.policy``."""

from __future__ import annotations

from sesamevale.policy.calls import call_state
from sesamevale.policy.configuration import document_follower
from sesamevale.policy.membership import membership_types
from sesamevale.policy.register import identity


def call_properties(
    call_id: int, **changes: object
) -> call_state.CallProperties:
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
    return call_state.CallProperties(**(values | changes))


def member(
    entry_id: str,
    incarnation: int = 1,
    status: membership_types.Status = membership_types.Status.ALIVE,
    port: int = 7000,
) -> membership_types.Member:
    return membership_types.Member(
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
) -> document_follower.Manifest:
    digests = parts or {"settings": f"digest-{revision}"}
    return document_follower.Manifest(
        "test",
        revision,
        change_id or f"change-{revision}",
        base,
        "test",
        0,
        tuple(sorted(digests.items())),
    )
