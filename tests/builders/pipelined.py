"""Builders of requests that are sent before earlier ones are answered."""

from __future__ import annotations

import dataclasses

SAFE = "read"
UNSAFE = "charge"


@dataclasses.dataclass(frozen=True)
class Sent:
    """A request for an upstream that answers after the stated delay.

    Attributes:
      request_id: Identifier of the attempt.
      kind: ``read`` for a repeatable route, ``charge`` for the other.
      delay_ms: Delay before the upstream answers.
      fields: Further header fields.
    """

    request_id: str
    kind: str = SAFE
    delay_ms: int = 0
    fields: tuple[str, ...] = ()

    @property
    def target(self) -> str:
        return f"/{self.kind}/{self.delay_ms}"

    @property
    def data(self) -> bytes:
        lines = [
            f"GET {self.target} HTTP/1.1",
            "Host: a.example",
            f"X-Attempt-Id: {self.request_id}",
            *self.fields,
        ]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()


def reads(count: int, delay_ms: int = 0) -> list[Sent]:
    return [Sent(f"r{number}", SAFE, delay_ms) for number in range(count)]


def data_of(requests: list[Sent]) -> bytes:
    return b"".join(each.data for each in requests)
