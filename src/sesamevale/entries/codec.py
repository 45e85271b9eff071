"""Encoding of messages between entries with Thrift's compact protocol."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

from thrift import Thrift
from thrift import TSerialization
from thrift.protocol import TCompactProtocol
from thrift.protocol import TProtocol

from sesamevale.entries.wire import ttypes as wire
from sesamevale.policy.calls import attempts
from sesamevale.policy.membership import membership_types

if TYPE_CHECKING:
    from sesamevale import sockets

__all__ = [
    "DECODE_ERRORS",
    "FACTORY",
    "FRAME_BYTES_MAX",
    "FrameStream",
    "decode_datagram",
    "decode_frame",
    "encode_datagram",
    "encode_frame",
    "encode_rumor",
]

FRAME_BYTES_MAX = 16 * 1024 * 1024
FRAME_LENGTH = struct.Struct("!I")

FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory(fallback=True)
DECODE_ERRORS = (
    EOFError,
    OverflowError,
    Thrift.TException,
    TProtocol.TProtocolException,
    TypeError,
    UnicodeDecodeError,
    ValueError,
)


def encode_frame(frame: wire.Frame) -> bytes:
    """Encodes a frame with its length prefix."""
    content = TSerialization.serialize(frame, FACTORY)
    return FRAME_LENGTH.pack(len(content)) + content


def decode_frame(content: bytes) -> wire.Frame | None:
    """Decodes a frame without its length prefix; None if malformed."""
    try:
        return TSerialization.deserialize(wire.Frame(), content, FACTORY)
    except DECODE_ERRORS:
        return None


class FrameStream:
    """Reads and writes frames on a byte stream.

    Args:
        stream: The connection; whoever opened it has to close it.
    """

    def __init__(self, stream: sockets.ByteStream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    def write(self, frame: wire.Frame) -> None:
        """Sends a frame."""
        self._stream.write(encode_frame(frame))

    async def read(self) -> wire.Frame | None:
        """Reads the next frame.

        Returns:
            The frame, or None if the stream has ended or the frame is
            malformed or too long.
        """
        header = await self._read_exactly(FRAME_LENGTH.size)
        if header is None:
            return None
        (length,) = FRAME_LENGTH.unpack(header)
        if length > FRAME_BYTES_MAX:
            return None
        content = await self._read_exactly(length)
        return None if content is None else decode_frame(content)

    async def _read_exactly(self, count: int) -> bytes | None:
        while len(self._buffer) < count:
            data = await self._stream.read()
            if not data:
                return None
            self._buffer += data
        taken = bytes(self._buffer[:count])
        del self._buffer[:count]
        return taken


def encode_datagram(message: membership_types.Message) -> bytes:
    """Encodes a gossip message as one datagram."""
    return TSerialization.serialize(_to_wire(message), FACTORY)


def encode_rumor(rumor: bytes) -> bytes:
    """Encodes suspicions as one datagram."""
    return TSerialization.serialize(wire.Datagram(rumor=rumor), FACTORY)


def decode_datagram(
    content: bytes,
) -> membership_types.Message | bytes | None:
    """Decodes a datagram.

    Returns:
        A gossip message, the bytes of suspicions, or None if it is malformed.
    """
    try:
        datagram = TSerialization.deserialize(wire.Datagram(), content, FACTORY)
        if datagram.rumor is not None:
            return bytes(datagram.rumor)
        return _from_wire(datagram)
    except DECODE_ERRORS:
        return None


def _to_wire(message: membership_types.Message) -> wire.Datagram:
    if isinstance(message, membership_types.PingRequest):
        request = wire.PingRequest(
            message.sequence,
            message.sender,
            message.subject,
            message.environment,
        )
        return wire.Datagram(ping_request=request)
    fields = {
        "sequence": message.sequence,
        "sender": message.sender,
        "revision": message.revision,
        "updates": [_member_to_wire(each) for each in message.updates],
        "environment": message.environment,
        "loads": [_load_to_wire(each) for each in message.loads],
    }
    if isinstance(message, membership_types.Ping):
        return wire.Datagram(ping=wire.Ping(**fields))
    return wire.Datagram(ack=wire.Ack(**fields))


def _from_wire(datagram: wire.Datagram) -> membership_types.Message | None:
    request = datagram.ping_request
    if request is not None:
        return membership_types.PingRequest(
            int(request.sequence),
            str(request.sender),
            str(request.subject),
            str(request.environment),
        )
    received = datagram.ping or datagram.ack
    if received is None:
        return None
    message_type = (
        membership_types.Ping if datagram.ping else membership_types.Ack
    )
    return message_type(
        int(received.sequence),
        str(received.sender),
        str(received.environment),
        int(received.revision),
        tuple(_member_from_wire(each) for each in received.updates),
        tuple(_load_from_wire(each) for each in received.loads or ()),
    )


def _member_to_wire(member: membership_types.Member) -> wire.MemberState:
    return wire.MemberState(
        member.entry_id,
        member.incarnation,
        member.refutation,
        int(member.status),
        member.data_center,
        member.host,
        member.caller_port,
        member.peer_port,
    )


def _member_from_wire(state: wire.MemberState) -> membership_types.Member:
    return membership_types.Member(
        str(state.entry_id),
        int(state.incarnation),
        int(state.refutation),
        membership_types.Status(state.status),
        str(state.data_center),
        str(state.host),
        int(state.caller_port),
        int(state.peer_port),
    )


def _load_to_wire(load: membership_types.ServiceLoad) -> wire.ServiceLoad:
    return wire.ServiceLoad(
        load.service, load.load.free_slots, load.load.queued
    )


def _load_from_wire(load: wire.ServiceLoad) -> membership_types.ServiceLoad:
    return membership_types.ServiceLoad(
        str(load.service_name),
        attempts.PeerLoad(int(load.free_slots), int(load.queued)),
    )
