"""Members of a fleet and the messages by which they gossip."""

from __future__ import annotations

import dataclasses
import enum

from sesamevale.policy import attempts

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
    """State of a member; a higher one wins within one incarnation."""

    JOINING = 0
    ALIVE = 1
    SUSPECT = 2
    LEAVING = 3
    DEAD = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """What is known of one entry.

    Attributes:
        entry_id: Identifier, unique among the entries.
        incarnation: Number of the process; a restart gets a higher one.
        refutation: Grows when the entry refutes a suspicion.
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
        """News with a higher precedence replaces older news."""
        return self.incarnation, self.refutation, int(self.status)


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Load of one service at the sender."""

    service: str
    load: attempts.PeerLoad


@dataclasses.dataclass(frozen=True, slots=True)
class UpdateMessage:
    """What every ping and acknowledgement carries.

    Attributes:
        sequence: Number of the ping, repeated by its acknowledgement.
        sender: Entry that sends the message.
        environment: Environment that the sender serves.
        revision: Document revision in force at the sender.
        updates: News of members.
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
    """Asks for an acknowledgement and carries news."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ack(UpdateMessage):
    """Acknowledges a ping and carries news."""


@dataclasses.dataclass(frozen=True, slots=True)
class PingRequest:
    """Asks the receiver to ping another entry for the sender."""

    sequence: int
    sender: str
    subject: str
    environment: str


Message = Ping | Ack | PingRequest


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to an address."""

    host: str
    port: int
    message: Message
