"""Tests of the spreading of suspicions among entries."""

from __future__ import annotations

import random

import pytest

from sesamevale.entries import rumor_codec
from sesamevale.policy.admission import suspects
from sesamevale.policy.membership import registered_peers
from sesamevale.policy.membership import rumors
from tests.builders import suspicions

# One datagram on an Ethernet link.
DATAGRAM_BYTES_MAX = 1400


def peers(count, data_center="here"):
    return [
        registered_peers.Peer(
            f"{data_center}-{number}", data_center, "127.0.0.1", 1, 1
        )
        for number in range(count)
    ]


def spread(count, seed):
    """Returns how many of some entries hear of an end, and the messages."""
    rng = random.Random(seed)
    everyone = peers(count)
    heard = {each.entry_id: rumors.Rumors(rng) for each in everyone}
    first = everyone[0].entry_id
    heard[first].add([suspicions.death(1, 7)], is_own=True)
    waiting, reached, messages = [first], {first}, 0
    while waiting:
        sender = waiting.pop(0)
        others = [each for each in everyone if each.entry_id != sender]
        targets = heard[sender].choose_targets(others, [])
        rows = heard[sender].take_message(100.0)
        messages += len(targets)
        for each in targets:
            if heard[each.entry_id].add(rows, is_own=False):
                reached.add(each.entry_id)
                waiting.append(each.entry_id)
    return len(reached), messages


# Load: one upstream ends in a data centre of 5 to 300 entries.
@pytest.mark.parametrize("count", [2, 5, 58, 300])
def test_nearly_all_entries_hear_of_an_end_from_few_messages(count):
    for seed in range(5):
        reached, messages = spread(count, seed)
        assert reached >= 0.9 * count
        assert messages <= rumors.FAN_OUT * count


def test_only_the_finder_tells_other_data_centers():
    far = peers(10, "there") + peers(10, "elsewhere")
    finder, hearer = (
        rumors.Rumors(random.Random(1)),
        rumors.Rumors(random.Random(1)),
    )
    finder.add([suspicions.death(1, 7)], is_own=True)
    hearer.add([suspicions.death(1, 7)], is_own=False)
    told = [each.data_center for each in finder.choose_targets(peers(9), far)]
    assert told.count("there") == told.count("elsewhere") == rumors.FAR_FAN_OUT
    told = {each.data_center for each in hearer.choose_targets(peers(9), far)}
    assert told == {"here"}


def test_what_is_known_is_not_passed_on_again():
    found = rumors.Rumors(random.Random(1))
    assert found.add([suspicions.death(1, 7)], is_own=False)
    assert not found.add([suspicions.death(1, 7, at=100.3)], is_own=False)
    assert found.add([suspicions.answer(1, at=101.0)], is_own=False)
    assert not found.add([suspicions.answer(1, at=101.1)], is_own=False)
    assert found.add([suspicions.answer(1, at=109.0)], is_own=False)


# Load: upstreams end under very many requests at once.
def test_a_message_fits_into_a_datagram():
    found = rumors.Rumors(random.Random(1))
    found.add([suspicions.death(n, n) for n in range(1, 500)], is_own=True)
    seen = set()
    while found.has_news:
        rows = found.take_message(100.0)
        seen |= {each.request for each in rows}
        data = rumor_codec.encode(rumor_codec.Rumor("test", rows), 100.0)
        assert len(data) <= DATAGRAM_BYTES_MAX
    assert len(seen) == 499


def test_a_message_is_read_as_it_was_written():
    rows = (
        suspects.Suspicion(2**64 - 1, 2**32 - 1, 7, 95.0),
        suspicions.answer(3, at=99.5),
    )
    data = rumor_codec.encode(rumor_codec.Rumor("test", rows), 100.0)
    assert rumor_codec.decode(data, "test", 100.0) == rows
    assert rumor_codec.decode(data, "other", 100.0) == ()


@pytest.mark.parametrize("cut", [0, 1, 3, 5, 21])
def test_a_malformed_message_is_empty(cut):
    rows = (suspicions.death(1, 7),)
    data = rumor_codec.encode(rumor_codec.Rumor("test", rows), 100.0)
    assert rumor_codec.decode(data[:cut], "test", 100.0) == ()
    assert rumor_codec.decode(data + b"x", "test", 100.0) == ()
