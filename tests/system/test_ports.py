"""Ports that concurrent test processes reserve are distinct.

Ports were once found by binding a socket and closing it, so another test run
or an outgoing connection could take them before their server listened.
"""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys

from tests.builders import loopback

ROOT = pathlib.Path(__file__).resolve().parents[2]
RESERVE_SCRIPT = """
import json, sys
from tests.builders import loopback
print(json.dumps([loopback.free_ports(3) for _ in range(300)]), flush=True)
sys.stdin.read()
"""


def test_concurrent_processes_reserve_different_ports():
    runs = [
        subprocess.Popen(
            [sys.executable, "-c", RESERVE_SCRIPT],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            cwd=ROOT,
        )
        for _ in range(2)
    ]
    ports = [
        port
        for run in runs
        for group in json.loads(run.stdout.readline())
        for port in group
    ]
    for run in runs:
        run.communicate()
    assert len(ports) == 1800
    assert len(set(ports)) == 1800


def test_no_reserved_port_is_in_the_range_of_outgoing_connections():
    outgoing = loopback.outgoing_ports()
    assert not [port for port in loopback.free_ports(20) if port in outgoing]
