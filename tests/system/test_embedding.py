"""Runs the example program that embeds ``sesamevale.api``."""

from __future__ import annotations

import subprocess
import sys

from examples import partitions
from tests.builders import fleet
from tests.builders import loopback


def start_worker(name: str, port: int, seed: int) -> subprocess.Popen:
    command = [
        sys.executable,
        str(fleet.ROOT / "examples/partitions.py"),
        f"--name={name}",
        f"--port={port}",
        f"--seed={seed}",
        "--seconds=5",
    ]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def test_two_workers_share_all_partitions():
    ports = loopback.free_ports(2)
    workers = [start_worker("a", *ports), start_worker("b", *reversed(ports))]
    outputs = [worker.communicate(timeout=60)[0] for worker in workers]
    last = [output.strip().splitlines()[-1].split()[1:] for output in outputs]
    assert sorted(last[0] + last[1]) == sorted(partitions.PARTITIONS)
    assert last[0] and last[1]
