"""Randomized fault soak of the gateway on real processes.

Run: ``python -m tests.soak.run --seeds 1-50 --seconds 10 --jobs 3``. A seed
fixes the random numbers of a run. The faults drawn from them and the reactions
of the processes may still differ, because their timing varies.
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
# Load continues for so long after the faults, before recovery is checked.
SETTLE_S = 5.0
# An entry must answer within the route's time-out plus this time.
ANSWER_SLACK_S = 0.5
# A longer gap between two ticks of this process shows that the machine is busy;
# an answer that is under way then is not judged late.
STALL_S = 0.25


class Soak:
    """One run: callers, faults, and the violations that were found.

    Callers, faults and links between entries have random sources of their own,
    so that a change of one does not change the draws of the others.
    """

    def __init__(self, seed, seconds, folder, entries=4, upstreams=6):
        self.rng = random.Random(seed)
        self.call_rng = random.Random(seed + 1_000_000)
        self.link_rng = random.Random(seed + 3_000_000)
        self.seconds = seconds
        self.fleet = fleets.Fleet(
            seed + 2_000_000,
            folder,
            entries=entries,
            upstreams=upstreams,
        )
        self.violations: list[str] = []
        self.refused: set[str] = set()
        self.charges: set[str] = set()
        self.statuses = collections.Counter()
        self.served_versions: dict[tuple[str, int], int] = {}
        self.stalled_at = 0.0
        self._attempt_count = 0

    async def run(self):
        async with self.fleet:
            watch = asyncio.create_task(self._watch_stalls())
            await self._wait_ready()
            end = time.monotonic() + self.seconds
            faults = asyncio.gather(
                self._inject_faults(end), self._disturb_entry_links(end)
            )
            callers = [
                asyncio.create_task(self._caller(end + SETTLE_S))
                for _ in range(CALLERS)
            ]
            await faults
            self._end_faults()
            await asyncio.sleep(SETTLE_S)
            await asyncio.gather(*callers)
            await self._check_recovery()
            watch.cancel()
        self._check_runs()
        return self.violations

    async def _watch_stalls(self):
        """Records when this process was not scheduled for ``STALL_S``."""
        last = time.monotonic()
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if now - last > STALL_S:
                self.stalled_at = now
            last = now

    async def _wait_ready(self):
        for entry in self.fleet.entries:
            for _ in range(200):
                if await self._send_request(entry, "/read/", "GET") == 200:
                    break
                await asyncio.sleep(0.05)
            else:
                raise AssertionError(
                    f"{entry.name} did not serve requests after its start"
                )
        self.statuses.clear()

    async def _caller(self, end):
        while time.monotonic() < end:
            entry = self.call_rng.choice(self.fleet.entries)
            draw = self.call_rng.random()
            if draw < 0.4:
                await self._send_request(entry, "/charge/", "POST")
            elif draw < 0.9:
                await self._send_request(entry, "/read/", "GET")
            else:
                await self._check_version(entry)
            await asyncio.sleep(self.call_rng.uniform(0.0, 0.04))

    async def _check_version(self, entry):
        """Checks that a process keeps serving each version it has served."""
        process = (entry.name, entry.start_count)
        version = self.call_rng.randint(1, self.fleet.version)
        status = await self._send_request(entry, f"/v{version}/", "GET")
        if process != (entry.name, entry.start_count):
            return
        served = self.served_versions.get(process, 0)
        if status == 404 and version <= served:
            self.violations.append(
                f"{entry.name} lost a route after serving version {served}"
            )
        elif status == 200:
            self.served_versions[process] = max(served, version)

    async def _send_request(self, entry, path, method):
        self._attempt_count += 1
        attempt = f"a{self._attempt_count}"
        if method == "POST":
            self.charges.add(attempt)
        started = time.monotonic()
        undisturbed = not (entry.paused or entry.stopped)
        status, body, signed = 0, b"", False
        with contextlib.suppress(
            OSError, ValueError, asyncio.IncompleteReadError
        ):
            async with asyncio.timeout(4.0):
                status, body, signed = await _exchange(
                    entry.port, path + attempt, method, attempt
                )
        took = time.monotonic() - started
        self._check_answer(entry, attempt, method, status, body, signed)
        undisturbed = undisturbed and not (entry.paused or entry.stopped)
        undisturbed = undisturbed and entry.disturbed_at < started
        late = took > fleets.TIMEOUT_MS / 1000 + ANSWER_SLACK_S
        if late and undisturbed and self.stalled_at < started:
            self.violations.append(
                f"{entry.name} answered {attempt} after {took:.2f} s"
            )
        return status

    def _check_answer(self, entry, attempt, method, status, body, signed):
        self.statuses[status] += 1
        if status == 200:
            if body != f"answer to {attempt}".encode() or not signed:
                self.violations.append(
                    f"{attempt} got {body[:40]!r} (signed: {signed})"
                )
        elif status in (429, 503) and method == "POST":
            self.refused.add(attempt)

    def _check_runs(self):
        for attempt in self.charges:
            runs = self.fleet.runs[attempt]
            if runs > 1:
                self.violations.append(f"{attempt} ran {runs} times")
            if runs and attempt in self.refused:
                self.violations.append(f"{attempt} ran although it was refused")

    async def _check_recovery(self):
        served = 0
        for number in range(20):
            entry = self.fleet.entries[number % len(self.fleet.entries)]
            served += await self._send_request(entry, "/read/", "GET") == 200
        if served < 16:
            self.violations.append(
                f"after the faults {served} of 20 were served"
            )

    def _end_faults(self):
        self.fleet.store.standing_fault = ""
        for each in [
            *self.fleet.proxies,
            *self._store_proxies(),
            *self._entry_proxies(),
        ]:
            each.mode = "pass"
        for each in self.fleet.upstreams:
            each.failure_share = 0.0

    def _store_proxies(self):
        return [each.store for each in self.fleet.entries]

    def _entry_proxies(self):
        return [each.link for each in self.fleet.entries]

    async def _inject_faults(self, end):
        """Starts random faults one after another; they may overlap."""
        running = set()
        faults = [
            self._pause,
            self._kill,
            self._stop,
            self._reload,
            self._fail_store,
            self._disturb_upstream_link,
            self._disturb_store_link,
            self._reset_connections,
            self._disturb_upstream,
            self._change_configuration,
            self._drain,
        ]
        while time.monotonic() < end:
            fault = self.rng.choice(faults)
            task = asyncio.create_task(fault())
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(self.rng.uniform(0.1, 0.9))
        await asyncio.gather(*running)

    def _choose_entry(self):
        free = [
            each
            for each in self.fleet.entries
            if not (each.stopped or each.paused)
        ]
        return self.rng.choice(free) if free else None

    async def _pause(self):
        entry, seconds = self._choose_entry(), self.rng.uniform(0.2, 2.0)
        if entry is not None:
            await entry.pause(seconds)

    async def _kill(self):
        entry = self._choose_entry()
        if entry is not None:
            await entry.restart(signal.SIGKILL)

    async def _stop(self):
        entry = self._choose_entry()
        if entry is not None:
            await entry.restart(signal.SIGTERM)

    async def _reload(self):
        entry = self._choose_entry()
        if entry is not None:
            entry.signal(signal.SIGHUP)

    async def _fail_store(self):
        modes = ["refused", "busy", "reset", "silent", "slow", "garbled"]
        self.fleet.store.standing_fault = self.rng.choice(modes)
        await asyncio.sleep(self.rng.uniform(0.3, 3.0))
        self.fleet.store.standing_fault = ""

    async def _disturb_upstream_link(self):
        await self._disturb_link(self.rng.choice(self.fleet.proxies))

    async def _disturb_store_link(self):
        await self._disturb_link(self.rng.choice(self._store_proxies()))

    async def _disturb_entry_links(self, end):
        """Disturbs the links between entries, one after another.

        These faults have a random source of their own, so that a seed that
        once failed still draws the same other faults.
        """
        while time.monotonic() < end:
            link = self.link_rng.choice(self._entry_proxies())
            if self.link_rng.random() < 0.2:
                link.reset_all()
            await self._disturb_link(link, self.link_rng)
            await asyncio.sleep(self.link_rng.uniform(0.0, 0.5))

    async def _disturb_link(self, link, rng=None):
        rng = rng or self.rng
        link.mode = rng.choice(["delay", "silent", "deaf", "refuse"])
        await asyncio.sleep(rng.uniform(0.3, 2.0))
        link.mode = "pass"

    async def _reset_connections(self):
        for each in self.fleet.proxies:
            if self.rng.random() < 0.5:
                each.reset_all()

    async def _disturb_upstream(self):
        upstream = self.rng.choice(self.fleet.upstreams)
        upstream.failure_share = self.rng.uniform(0.1, 0.6)
        await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        upstream.failure_share = 0.0

    async def _change_configuration(self):
        self.fleet.configure()

    async def _drain(self):
        name = self.rng.choice(sorted(self.fleet.heartbeats))
        heartbeat = self.fleet.heartbeats[name]
        heartbeat["state"] = "draining"
        await asyncio.sleep(self.rng.uniform(1.0, 3.0))
        heartbeat["state"] = "ready"
        heartbeat["born"] += 1
        heartbeat["seqNo"] = 0


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
    """Runs one seed; returns the violations and the requests by status."""
    soak_run = Soak(seed, seconds, pathlib.Path(folder), **sizes)
    violations = asyncio.run(soak_run.run())
    return violations, dict(soak_run.statuses)


def _seeds(text):
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def _run_seed(seed, arguments):
    folder = tempfile.mkdtemp(prefix=f"soak-{seed}-")
    violations, statuses = soak(
        seed,
        arguments.seconds,
        folder,
        entries=arguments.entries,
        upstreams=arguments.upstreams,
    )
    print(
        f"seed {seed}: {len(violations)} violations, statuses {statuses}",
        flush=True,
    )
    for each in violations[:10]:
        print(f"  {each} (logs in {folder})", flush=True)
    return 1 if violations else 0


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
        return _run_seed(seeds[0], arguments)
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
    print(f"{len(seeds)} seeds, {failed} with violations")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
