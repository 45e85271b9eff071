"""Builders of answers of upstreams whose status is none."""

from __future__ import annotations

from tests.standins.scripted_upstream import ScriptedAnswer

# More interim answers than any upstream has a reason to send.
MANY = 1000
# Status codes that HTTP does not have, and 101 without a request for it.
CODES = (
    "000", "099", "600", "601", "700", "799", "999", "1000", "20", "+20",
    "-20", "2e2", "0x1", "101",
)  # fmt: skip
BEHIND = b"behind"
FIELDS = "X-Attempt-Id: attempt-1\r\nX-Response-Signature: s\r\n"


def head(code: str, length: int = 0) -> bytes:
    return (
        f"HTTP/1.1 {code} Odd\r\n{FIELDS}Content-Length: {length}\r\n\r\n"
    ).encode()


def interim(count: int) -> bytes:
    return f"HTTP/1.1 199 Odd\r\n{FIELDS}\r\n".encode() * count


def success(body: bytes = BEHIND) -> bytes:
    return head("200", len(body)) + body


def odd_answer(code: str) -> ScriptedAnswer:
    """Returns an answer with a status that is none, and a success behind it."""
    if code == "199 without end":
        return ScriptedAnswer(raw=interim(MANY) + success(), keep=True)
    return ScriptedAnswer(raw=head(code, 4) + b"none" + success(), keep=True)
