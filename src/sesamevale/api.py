"""Coordination parts for programs that embed them.

Each part decides and performs no input or output, except ``Gossip``, which
owns a UDP socket and drives a ``Membership``.

- ``Membership``: who is alive, by gossip; feed it messages and ticks.
- ``LeaseHolder``: until when a lease certainly holds.
- ``DocumentFollower``: which document is in force; it never goes back.
- ``Register``: actions that run at most once.
- ``ProbeBudget``: one member's share of a budget for all.
- ``score``: weighted rendezvous hashing.
"""

from __future__ import annotations

from sesamevale.entries.gossip import Gossip
from sesamevale.metrics import MetricsRecorder as Book
from sesamevale.policy.document_follower import DocumentFollower
from sesamevale.policy.document_follower import Manifest
from sesamevale.policy.leases import LeaseHolder
from sesamevale.policy.leases import LeaseState
from sesamevale.policy.membership import Membership
from sesamevale.policy.membership import Timing
from sesamevale.policy.membership_types import Member
from sesamevale.policy.membership_types import Status
from sesamevale.policy.probing import ProbeBudget
from sesamevale.policy.register import Register
from sesamevale.policy.rendezvous import score

__all__ = [
    "Book",
    "DocumentFollower",
    "Gossip",
    "LeaseHolder",
    "LeaseState",
    "Manifest",
    "Member",
    "Membership",
    "ProbeBudget",
    "Register",
    "Status",
    "Timing",
    "score",
]
