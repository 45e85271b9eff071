"""Free ports drawn by concurrent test runs do not collide.

Ports were found by binding and closing a socket, so another run or an
outgoing connection could take them before their server listened.
"""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys

from tests.builders import loopback

ROOT = pathlib.Path(__file__).resolve().parents[2]
DRAW_SCRIPT = """
import json, sys
from tests.builders import loopback
print(json.dumps([loopback.free_ports(3) for _ in range(300)]), flush=True)
sys.stdin.read()
"""


def test_two_processes_draw_different_ports():
    runs = [
        subprocess.Popen(
            [sys.executable, "-c", DRAW_SCRIPT],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            cwd=ROOT,
        )
        for _ in range(2)
    ]
    drawn = [
        port
        for run in runs
        for group in json.loads(run.stdout.readline())
        for port in group
    ]
    for run in runs:
        run.communicate()
    assert len(drawn) == 1800
    assert len(set(drawn)) == 1800


def test_an_outgoing_connection_cannot_take_a_drawn_port():
    outgoing = loopback.outgoing_ports()
    assert not [port for port in loopback.free_ports(20) if port in outgoing]
