"""Clients that an entry does not control, against a process of its own.

The machines of these tests are small. Checked is only that the process lives,
that its memory and its descriptors stay within those of the machine, and that
it answers an ordinary request while the clients are still connected.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib

import pytest

from tests.builders import hard_clients
from tests.builders import store_items
from tests.standins import large_answers
from tests.system import entry_process

KIB = 1024
MIB = 1024 * KIB
MEMORY_MB = 200
DESCRIPTORS_MAX = 500
# Descriptors that the platform keeps for files.
FILE_DESCRIPTORS = 200
MAX_BODY_BYTES = 64 * MIB
TIMEOUT_MS = 12_000
# Time for the crowd to send what it is allowed to send.
CROWD_S = 6.0
ORDINARY_CALLS = 3

MACHINE = {"memory_mb": MEMORY_MB, "descriptors_max": DESCRIPTORS_MAX}
ROUTES = [
    store_items.route(timeoutMs=TIMEOUT_MS, targetLatencyMs=3000),
    store_items.route(
        name="charge",
        prefix="/charge/",
        kind="unsafe",
        timeoutMs=TIMEOUT_MS,
        targetLatencyMs=3000,
    ),
]


def new_entry(folder):
    config = store_items.config("r1", ROUTES)
    config["limits"]["maxBodyBytes"] = MAX_BODY_BYTES
    entry = entry_process.Entry(folder, config=config, machine=MACHINE)
    entry.upstream = large_answers.LargeAnswerUpstream("i-1")
    return entry


def peak_memory_bytes(entry) -> int:
    text = pathlib.Path(f"/proc/{entry.process.pid}/status").read_text()
    fields = dict(line.split(":", 1) for line in text.splitlines())
    return int(fields["VmHWM"].split()[0]) * KIB


def socket_count(entry) -> int:
    folder = f"/proc/{entry.process.pid}/fd"
    names = []
    for each in os.listdir(folder):
        with contextlib.suppress(FileNotFoundError):
            names.append(os.readlink(f"{folder}/{each}"))
    return sum(name.startswith("socket:") for name in names)


def check_bounds(entry):
    assert entry.process.returncode is None, "the process has ended"
    assert peak_memory_bytes(entry) <= MEMORY_MB * MIB
    assert socket_count(entry) <= DESCRIPTORS_MAX - FILE_DESCRIPTORS


def withstand(folder, crowd):
    """Checks an entry while the clients of a crowd do what they can.

    ``crowd`` makes the clients from the port of the entry.
    """

    async def scenario():
        async with new_entry(folder) as entry:
            await entry.wait_readiness()
            clients = crowd(entry.ports[0])
            tasks = [asyncio.create_task(each.run()) for each in clients]
            try:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(CROWD_S):
                        for each in clients:
                            await each.settled.wait()
                check_bounds(entry)
                for number in range(ORDINARY_CALLS):
                    status, _, _ = await entry.call(
                        "/read/1", f"calm-{number}", deadline_ms=TIMEOUT_MS
                    )
                    assert status == 200
                check_bounds(entry)
            finally:
                for each in tasks:
                    each.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)

    entry_process.run(scenario())


# Load: each client holds a body of legal size, short of its end.
@pytest.mark.parametrize("piece_bytes", [MIB, 8 * KIB], ids=["whole", "pieces"])
def test_many_large_bodies_that_do_not_end_do_not_exhaust_memory(
    tmp_path, piece_bytes
):
    withstand(
        tmp_path,
        lambda port: [
            hard_clients.HardClient(
                port,
                hard_clients.unfinished_body(
                    "/charge/1", 24 * MIB, piece_bytes
                ),
            )
            for _ in range(12)
        ],
    )


# Load: as above, in chunks, so that no length is known in advance.
@pytest.mark.parametrize("chunk_bytes", [256 * KIB, 2 * KIB])
def test_many_chunked_bodies_that_do_not_end_do_not_exhaust_memory(
    tmp_path, chunk_bytes
):
    withstand(
        tmp_path,
        lambda port: [
            hard_clients.HardClient(
                port,
                hard_clients.unfinished_chunks(
                    "/charge/1", 24 * MIB, chunk_bytes
                ),
            )
            for _ in range(12)
        ],
    )


# Load: bodies that cost far more to parse than to send.
@pytest.mark.parametrize("client_count", [1, 3])
@pytest.mark.parametrize("chunk_bytes", [1, 4, 8])
def test_bodies_in_tiny_chunks_do_not_hold_up_other_callers(
    tmp_path, chunk_bytes, client_count
):
    withstand(
        tmp_path,
        lambda port: [
            hard_clients.HardClient(
                port, hard_clients.endless_chunks("/charge/1", chunk_bytes)
            )
            for _ in range(client_count)
        ],
    )


# Load: long answers that are ready, to clients that hardly read.
@pytest.mark.parametrize(
    ("clients", "pipelined", "answer_bytes"),
    [(40, 8, 1000 * KIB), (200, 1, 4 * MIB)],
    ids=["pipelined", "streamed"],
)
def test_long_answers_to_slow_readers_do_not_exhaust_memory(
    tmp_path, clients, pipelined, answer_bytes
):
    withstand(
        tmp_path,
        lambda port: [
            hard_clients.HardClient(
                port,
                hard_clients.pipelined_reads(
                    f"/read/bytes-{answer_bytes}", pipelined
                ),
                reads=True,
            )
            for _ in range(clients)
        ],
    )


# Load: more connections than the machine has descriptors for sockets.
def test_many_connections_do_not_exhaust_descriptors(tmp_path):
    withstand(
        tmp_path,
        lambda port: [
            hard_clients.HardClient(port, hard_clients.unfinished_head())
            for _ in range(350)
        ],
    )
