"""Tests of the bodies of requests."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from sesamevale import bodies

LENGTHS = strategies.lists(strategies.integers(0, 200_000), max_size=8)


@hypothesis.settings(max_examples=50, deadline=None, database=None)
@hypothesis.given(LENGTHS)
def test_the_parts_of_a_body_are_the_bytes_in_order(lengths):
    body = bodies.BodyBuffer()
    sent = b""
    for number, length in enumerate(lengths):
        data = bytes((number + 1,)) * length
        body.append(data)
        sent += data
    assert len(body) == len(sent)
    assert b"".join(body.parts()) == sent


def test_a_released_body_holds_nothing():
    body = bodies.BodyBuffer()
    body.append(bytes(2 * bodies.SEGMENT_BYTES))
    body.release()
    body.append(bytes(2 * bodies.SEGMENT_BYTES))
    assert body.is_released
    assert not body.parts()


# A part that is being sent stays readable while its request ends.
def test_parts_outlive_the_release():
    body = bodies.BodyBuffer()
    body.append(b"x" * bodies.SEGMENT_BYTES)
    (part,) = body.parts()
    body.release()
    assert bytes(part) == b"x" * bodies.SEGMENT_BYTES
