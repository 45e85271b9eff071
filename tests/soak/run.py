"""Randomized fault soak of the gateway over real processes.

Run: ``python -m tests.soak.run --seeds 1-50 --seconds 10 --jobs 3``. A seed
draws the same faults each time; what the processes make of them may differ.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import contextlib
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time

from tests.soak import fleet as fleets
from tests.soak import launch

CALLERS = 12
SETTLE_S = 5.0
# Time beyond the route's time-out within which an entry must answer.
ANSWER_SLACK_S = 0.5
# A pause that a busy machine alone may cause between two ticks.
STALL_S = 0.25


class Soak:
    """One run: callers, faults, and what broke a promise."""

    def __init__(self, seed, seconds, folder, entries=4, upstreams=6):
        self.rng = random.Random(seed)
        self.calls = random.Random(seed + 1_000_000)
        self.links = random.Random(seed + 3_000_000)
        self.seconds = seconds
        self.fleet = fleets.Fleet(
            seed + 2_000_000,
            folder,
            entries=entries,
            upstreams=upstreams,
        )
        self.broken: list[str] = []
        self.refused: set[str] = set()
        self.charges: set[str] = set()
        self.statuses = collections.Counter()
        self.seen_versions: dict[tuple[str, int], int] = {}
        self.stalled_at = 0.0
        self._number = 0

    async def run(self):
        async with self.fleet:
            watch = asyncio.create_task(self._watch_stalls())
            await self._until_ready()
            end = time.monotonic() + self.seconds
            faults = asyncio.gather(self._faults(end), self._entry_links(end))
            callers = [
                asyncio.create_task(self._caller(end + SETTLE_S))
                for _ in range(CALLERS)
            ]
            await faults
            self._calm()
            await asyncio.sleep(SETTLE_S)
            await asyncio.gather(*callers)
            await self._check_recovery()
            watch.cancel()
        self._check_runs()
        return self.broken

    async def _watch_stalls(self):
        """Notes when this process itself did not run for a while."""
        last = time.monotonic()
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if now - last > STALL_S:
                self.stalled_at = now
            last = now

    async def _until_ready(self):
        for entry in self.fleet.entries:
            for _ in range(200):
                if await self._ask(entry, "/read/", "GET") == 200:
                    break
                await asyncio.sleep(0.05)
            else:
                raise AssertionError(f"{entry.name} never served")
        self.statuses.clear()

    async def _caller(self, end):
        while time.monotonic() < end:
            entry = self.calls.choice(self.fleet.entries)
            kind = self.calls.random()
            if kind < 0.4:
                await self._ask(entry, "/charge/", "POST")
            elif kind < 0.9:
                await self._ask(entry, "/read/", "GET")
            else:
                await self._ask_version(entry)
            await asyncio.sleep(self.calls.uniform(0.0, 0.04))

    async def _ask_version(self, entry):
        """A route that a process has served once must not vanish."""
        process = (entry.name, entry.starts)
        version = self.calls.randint(1, self.fleet.version)
        status = await self._ask(entry, f"/v{version}/", "GET")
        if process != (entry.name, entry.starts):
            return
        served = self.seen_versions.get(process, 0)
        if status == 404 and version <= served:
            self.broken.append(f"{entry.name} went back below {served}")
        elif status == 200:
            self.seen_versions[process] = max(served, version)

    async def _ask(self, entry, path, method):
        self._number += 1
        attempt = f"a{self._number}"
        if method == "POST":
            self.charges.add(attempt)
        started = time.monotonic()
        calm = not (entry.paused or entry.stopped)
        status, body, signed = 0, b"", False
        with contextlib.suppress(
            OSError, ValueError, asyncio.IncompleteReadError
        ):
            async with asyncio.timeout(4.0):
                status, body, signed = await _exchange(
                    entry.port, path + attempt, method, attempt
                )
        took = time.monotonic() - started
        self._judge(entry, attempt, method, status, body, signed)
        calm = calm and not (entry.paused or entry.stopped)
        calm = calm and entry.disturbed_at < started
        late = took > fleets.TIMEOUT_MS / 1000 + ANSWER_SLACK_S
        if late and calm and self.stalled_at < started:
            self.broken.append(f"{entry.name} answered {attempt} in {took:.2f}")
        return status

    def _judge(self, entry, attempt, method, status, body, signed):
        self.statuses[status] += 1
        if status == 200:
            if body != f"answer to {attempt}".encode() or not signed:
                self.broken.append(f"{attempt} got {body[:40]!r} ({signed})")
        elif status in (429, 503) and method == "POST":
            self.refused.add(attempt)

    def _check_runs(self):
        for attempt in self.charges:
            runs = self.fleet.runs[attempt]
            if runs > 1:
                self.broken.append(f"{attempt} ran {runs} times")
            if runs and attempt in self.refused:
                self.broken.append(f"{attempt} was refused and ran")

    async def _check_recovery(self):
        served = 0
        for number in range(20):
            entry = self.fleet.entries[number % len(self.fleet.entries)]
            served += await self._ask(entry, "/read/", "GET") == 200
        if served < 16:
            self.broken.append(f"after the faults {served} of 20 were served")

    def _calm(self):
        self.fleet.store.standing_fault = ""
        for each in [
            *self.fleet.proxies,
            *self._store_proxies(),
            *self._entry_proxies(),
        ]:
            each.mode = "pass"
        for each in self.fleet.upstreams:
            each.trouble = 0.0

    def _store_proxies(self):
        return [each.store for each in self.fleet.entries]

    def _entry_proxies(self):
        return [each.link for each in self.fleet.entries]

    async def _faults(self, end):
        """Starts faults that come in series and overlap."""
        running = set()
        makers = [
            self._pause,
            self._kill,
            self._stop,
            self._hup,
            self._store_down,
            self._links,
            self._store_links,
            self._reset,
            self._upstream_trouble,
            self._change,
            self._drain,
        ]
        while time.monotonic() < end:
            maker = self.rng.choice(makers)
            task = asyncio.create_task(maker())
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(self.rng.uniform(0.1, 0.9))
        await asyncio.gather(*running)

    def _entry(self):
        free = [
            each
            for each in self.fleet.entries
            if not (each.stopped or each.paused)
        ]
        return self.rng.choice(free) if free else None

    async def _pause(self):
        entry, seconds = self._entry(), self.rng.uniform(0.2, 2.0)
        if entry is not None:
            await entry.pause(seconds)

    async def _kill(self):
        entry = self._entry()
        if entry is not None:
            await entry.restart(signal.SIGKILL)

    async def _stop(self):
        entry = self._entry()
        if entry is not None:
            await entry.restart(signal.SIGTERM)

    async def _hup(self):
        entry = self._entry()
        if entry is not None:
            entry.signal(signal.SIGHUP)

    async def _store_down(self):
        modes = ["refused", "busy", "reset", "silent", "slow", "garbled"]
        self.fleet.store.standing_fault = self.rng.choice(modes)
        await asyncio.sleep(self.rng.uniform(0.3, 3.0))
        self.fleet.store.standing_fault = ""

    async def _links(self):
        await self._mode(self.rng.choice(self.fleet.proxies))

    async def _store_links(self):
        await self._mode(self.rng.choice(self._store_proxies()))

    async def _entry_links(self, end):
        """Troubles the links between entries, one after the other.

        They have draws of their own, so that the other faults of a seed stay
        as they were when it failed.
        """
        while time.monotonic() < end:
            between = self.links.choice(self._entry_proxies())
            if self.links.random() < 0.2:
                between.reset_all()
            await self._mode(between, self.links)
            await asyncio.sleep(self.links.uniform(0.0, 0.5))

    async def _mode(self, between, rng=None):
        rng = rng or self.rng
        between.mode = rng.choice(["delay", "silent", "deaf", "refuse"])
        await asyncio.sleep(rng.uniform(0.3, 2.0))
        between.mode = "pass"

    async def _reset(self):
        for each in self.fleet.proxies:
            if self.rng.random() < 0.5:
                each.reset_all()

    async def _upstream_trouble(self):
        upstream = self.rng.choice(self.fleet.upstreams)
        upstream.trouble = self.rng.uniform(0.1, 0.6)
        await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        upstream.trouble = 0.0

    async def _change(self):
        self.fleet.configure()

    async def _drain(self):
        name = self.rng.choice(sorted(self.fleet.beats))
        beat = self.fleet.beats[name]
        beat["state"] = "draining"
        await asyncio.sleep(self.rng.uniform(1.0, 3.0))
        beat["state"] = "ready"
        beat["born"] += 1
        beat["seqNo"] = 0


async def _exchange(port, target, method, attempt):
    reader, writer = await asyncio.open_connection(fleets.HOST, port)
    try:
        lines = [
            f"{method} {target} HTTP/1.1",
            "Host: a.example",
            f"X-Attempt-Id: {attempt}",
            "X-Deadline-Ms: 3000",
            "Connection: close",
        ]
        if method == "POST":
            lines.append("Content-Length: 0")
        writer.write("\r\n".join([*lines, "", ""]).encode())
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        status = int(head.split()[1])
        length = 0
        for line in head.split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.partition(b":")[2])
        body = await reader.readexactly(length)
        return status, body, b"x-response-signature" in head
    finally:
        writer.close()


def soak(seed, seconds, folder, **sizes):
    """Runs one seed; returns what broke and how requests ended."""
    one = Soak(seed, seconds, pathlib.Path(folder), **sizes)
    broken = asyncio.run(one.run())
    return broken, dict(one.statuses)


def _seeds(text):
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def _alone(seed, arguments):
    folder = tempfile.mkdtemp(prefix=f"soak-{seed}-")
    broken, statuses = soak(
        seed,
        arguments.seconds,
        folder,
        entries=arguments.entries,
        upstreams=arguments.upstreams,
    )
    print(f"seed {seed}: {len(broken)} broken, statuses {statuses}", flush=True)
    for each in broken[:10]:
        print(f"  {each} (logs in {folder})", flush=True)
    return 1 if broken else 0


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="1")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument("--upstreams", type=int, default=6)
    arguments = parser.parse_args()
    seeds = _seeds(arguments.seeds)
    if len(seeds) == 1:
        return _alone(seeds[0], arguments)
    waiting, running, failed = seeds[::-1], [], 0
    while waiting or running:
        while waiting and len(running) < arguments.jobs:
            command = [sys.executable, "-m", "tests.soak.run"]
            for name in ("seconds", "entries", "upstreams"):
                command += [f"--{name}", str(getattr(arguments, name))]
            command += ["--seeds", str(waiting.pop())]
            running.append(
                subprocess.Popen(command, preexec_fn=launch.end_with_parent)
            )
        time.sleep(0.2)
        failed += sum(each.poll() not in (None, 0) for each in running)
        running = [each for each in running if each.poll() is None]
    print(f"{len(seeds)} seeds, {failed} with a broken promise")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
