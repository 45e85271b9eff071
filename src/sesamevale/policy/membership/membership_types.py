"""Members of the cluster and the messages by which they gossip."""

from __future__ import annotations

import dataclasses
import enum

from sesamevale.policy.calls import attempts

__all__ = [
    "Ack",
    "Member",
    "Message",
    "Ping",
    "PingRequest",
    "Send",
    "ServiceLoad",
    "Status",
    "UpdateMessage",
]


class Status(enum.IntEnum):
    """State of a member.

    Of two updates with the same incarnation and refutation, the one with the
    higher status takes precedence.
    """

    JOINING = 0
    ALIVE = 1
    SUSPECT = 2
    LEAVING = 3
    DEAD = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """State of one entry, as spread by gossip.

    Attributes:
        entry_id: Identifier, unique among the entries.
        incarnation: Number of the process; increases with each restart.
        refutation: Counter that the entry increases when it refutes a
            suspicion or changes its own status.
        status: State of the member.
        data_center: Data centre that the entry is in.
        host: IP address.
        caller_port: TCP port for callers.
        peer_port: UDP and TCP port for other entries.
    """

    entry_id: str
    incarnation: int
    refutation: int
    status: Status
    data_center: str
    host: str
    caller_port: int
    peer_port: int

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Sort key; an update with a higher one replaces the known state."""
        return self.incarnation, self.refutation, int(self.status)


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Load of one service at the sender."""

    service: str
    load: attempts.PeerLoad


@dataclasses.dataclass(frozen=True, slots=True)
class UpdateMessage:
    """Fields that pings and acknowledgements share.

    Attributes:
        sequence: Number of the ping, repeated by its acknowledgement.
        sender: Entry that sends the message.
        environment: Environment that the sender serves.
        revision: Document revision in force at the sender.
        updates: States of members.
        loads: Loads of services that the sender shares with other homes.
    """

    sequence: int
    sender: str
    environment: str
    revision: int
    updates: tuple[Member, ...]
    loads: tuple[ServiceLoad, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Ping(UpdateMessage):
    """Requests an acknowledgement and carries membership updates."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ack(UpdateMessage):
    """Acknowledges a ping and carries membership updates."""


@dataclasses.dataclass(frozen=True, slots=True)
class PingRequest:
    """Requests an indirect probe: a ping of the subject for the sender."""

    sequence: int
    sender: str
    subject: str
    environment: str


Message = Ping | Ack | PingRequest


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Effect: send a message to an address."""

    host: str
    port: int
    message: Message
