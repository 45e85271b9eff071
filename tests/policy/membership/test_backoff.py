"""Tests of the delays between attempts."""

from __future__ import annotations

import random

from sesamevale.policy.membership import backoff


def test_delays_double_up_to_the_longest_and_start_again():
    delays = backoff.Backoff(0.5, 4.0, random.Random(1))
    for longest_s in (0.5, 1.0, 2.0, 4.0, 4.0):
        assert longest_s / 2 <= delays.next_delay_s() <= longest_s
    delays.reset()
    assert delays.next_delay_s() <= 0.5


def test_many_clients_do_not_ask_at_the_same_time():
    first = {
        backoff.Backoff(0.5, 4.0, random.Random(seed)).next_delay_s()
        for seed in range(100)
    }
    assert len(first) == 100
