"""Tests of the codec: round trips and malformed input."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st

from sesamevale.entries import codec
from sesamevale.policy.calls import attempts
from sesamevale.policy.membership import membership_types
from tests.builders import policy_values

NAMES = st.text(max_size=20)
NUMBERS = st.integers(0, (1 << 62) - 1)
MEMBERS = st.builds(
    policy_values.member,
    entry_id=NAMES,
    incarnation=NUMBERS,
    status=st.sampled_from(membership_types.Status),
    port=st.integers(0, 65535),
)
LOADS = st.builds(
    membership_types.ServiceLoad,
    NAMES,
    st.builds(attempts.PeerLoad, st.integers(0, 1000), st.integers(0, 1000)),
)
PINGS = st.builds(
    membership_types.Ping,
    NUMBERS,
    NAMES,
    NAMES,
    NUMBERS,
    st.lists(MEMBERS, max_size=4).map(tuple),
    st.lists(LOADS, max_size=3).map(tuple),
)
REQUESTS = st.builds(membership_types.PingRequest, NUMBERS, NAMES, NAMES, NAMES)


@hypothesis.given(PINGS | REQUESTS)
def test_a_decoded_datagram_equals_the_encoded_message(message):
    assert codec.decode_datagram(codec.encode_datagram(message)) == message


@hypothesis.given(st.binary(max_size=200))
def test_random_bytes_are_refused_without_an_exception(content):
    codec.decode_datagram(content)
    codec.decode_frame(content)


@hypothesis.given(PINGS, st.data())
def test_truncated_datagrams_are_refused_without_an_exception(message, data):
    whole = codec.encode_datagram(message)
    length = data.draw(st.integers(0, len(whole)))
    codec.decode_datagram(whole[:length])
