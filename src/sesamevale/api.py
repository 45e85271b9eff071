"""Coordination components for programs that embed this library.

The components make decisions and perform no input or output, except
``Gossip``, which owns a UDP socket and drives a ``Membership``.

- ``Membership``: gossip-based membership and failure detection; its input is
  messages and clock ticks.
- ``LeaseHolder``: the time until which a lease is certain to hold.
- ``DocumentFollower``: the document in force; its revision never decreases.
- ``Register``: runs each action at most once.
- ``ProbeBudget``: one member's share of a common probe budget.
- ``score``: weighted rendezvous hashing.
- ``Book``: counters and latencies, which ``Gossip`` writes to.
"""

from __future__ import annotations

from sesamevale.entries.gossip import Gossip
from sesamevale.metrics import MetricsRecorder as Book
from sesamevale.policy.balancing.probing import ProbeBudget
from sesamevale.policy.balancing.rendezvous import score
from sesamevale.policy.configuration.document_follower import DocumentFollower
from sesamevale.policy.configuration.document_follower import Manifest
from sesamevale.policy.membership.leases import LeaseHolder
from sesamevale.policy.membership.leases import LeaseState
from sesamevale.policy.membership.membership import Membership
from sesamevale.policy.membership.membership import Timing
from sesamevale.policy.membership.membership_types import Member
from sesamevale.policy.membership.membership_types import Status
from sesamevale.policy.register.register import Register

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
