"""Measures memory and time of the register of actions by their number."""

from __future__ import annotations

import time
import tracemalloc

from bench import measuring
from sesamevale import outcomes
from sesamevale.policy.register import identity
from sesamevale.policy.register import register

ANSWER_BYTES = 200
COUNTS = (5_000, 10_000, 20_000)
WINDOW_S = 600


def fill(count: int) -> list[object]:
    """Submits and settles actions in a register; returns one table row."""
    tracemalloc.start()
    actions = register.Register(WINDOW_S, count, 1 << 30)
    started = time.perf_counter()
    for number in range(count):
        expires_s = 1000 + number % WINDOW_S
        ticket = identity.Ticket("entry-1", 1, expires_s, f"{number:016x}")
        action = identity.Identity(ticket, f"charge-{number}")
        actions.submit(action, f"{number:032x}", 900.0)
        answer = outcomes.Answer(200, (), bytes(ANSWER_BYTES))
        actions.settle(str(action), outcomes.Answered(answer))
    took = time.perf_counter() - started
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    mebibytes = used / (1024 * 1024)
    return [count, mebibytes, used / count, took / count * 1e6]


if __name__ == "__main__":
    header = ("actions", "MiB", "B/action", "us/action (traced)")
    print(measuring.table(header, [fill(count) for count in COUNTS]))
