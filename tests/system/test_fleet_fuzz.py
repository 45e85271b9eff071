"""Random faults on a fleet of real processes.

The upstreams count the runs of each action; the fuzz compares these counts
with the outcomes that the callers received.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random
import uuid

import pytest

from tests.builders import documents
from tests.builders import fleet
from tests.builders import loopback
from tests.standins import http_client

STEPS = 30
ENTRIES = ("e1", "e2", "e3")
CALL_TIMEOUT_S = 8.0
UPSTREAM_MODES = ("serve", "serve", "serve", "cut", "shed")


@dataclasses.dataclass(slots=True)
class ReportedOutcomes:
    """Outcomes that answers reported for one action.

    Attributes:
      bodies: The different bodies of answers that the action's run gave.
      not_run: Whether an answer reported that the action had not run.
    """

    bodies: set[bytes] = dataclasses.field(default_factory=set)
    not_run: bool = False


class FleetFuzz:
    """Random actions, repeats, kills, freezes and faults on one fleet.

    Args:
      running: The fleet.
      seed: Seed of the choices.
      module: The module that entries run.
    """

    def __init__(self, running: fleet.Fleet, seed: int, module: str) -> None:
        self.running = running
        self.module = module
        self.rng = random.Random(seed)
        self.ports = loopback.free_ports(3)
        self.reported: dict[str, ReportedOutcomes] = collections.defaultdict(
            ReportedOutcomes
        )
        self.identities: list[str] = []
        self.frozen: set[str] = set()
        self.tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        await self.running.start_platform()
        await self.running.start_upstreams(self.ports, 2, 30.0)
        rules = [documents.write_rule("till", deadline_ms=1500)]
        service = documents.service("till", self.ports, 2, rules)
        await self.running.submit(documents.document({"till": service}))
        for name in ENTRIES:
            self.running.start_entry(name, "test", module=self.module)
        await self.running.wait_ready()

    async def run(self) -> None:
        steps = (
            self.new_action,
            self.new_action,
            self.repeat_action,
            self.repeat_action,
            self.repeat_action,
            self.replace_entry,
            self.freeze_or_thaw,
            self.change_upstream,
        )
        for _ in range(STEPS):
            await self.rng.choice(steps)()
            await asyncio.sleep(self.rng.uniform(0.0, 0.2))
        for name in list(self.frozen):
            self.running.entries[name].thaw()
        await asyncio.gather(*self.tasks)

    async def new_action(self) -> None:
        name = self.rng.choice(ENTRIES)
        if name in self.frozen:
            return
        async with self.running.client(name, 1.0) as client:
            path = "/.well-known/sesamevale/directory"
            answer = await client.call("GET", path)
        if answer is None:
            return
        ticket = answer.body.decode().split('"ticket": "')[1].split('"')[0]
        self.identities.append(f"{ticket}~{uuid.uuid4().hex}")
        self.send(self.identities[-1])

    async def repeat_action(self) -> None:
        if self.identities:
            self.send(self.rng.choice(self.identities[-5:]))

    def send(self, identity: str) -> None:
        name = self.rng.choice(ENTRIES)
        self.tasks.append(asyncio.ensure_future(self.call(name, identity)))

    async def call(self, name: str, identity: str) -> None:
        headers = {"idempotency-key": identity, "x-action": identity}
        async with self.running.client(name, CALL_TIMEOUT_S) as client:
            answer = await client.call("POST", "/till/x", headers, b"1 EUR")
        if answer is not None:
            self.record_answer(identity, answer)

    def record_answer(self, identity: str, answer: http_client.Answer) -> None:
        reported = self.reported[identity]
        outcome = answer.headers.get("sesamevale-outcome")
        if outcome is None:
            reported.bodies.add(answer.body)
        elif outcome == "not-run":
            reported.not_run = True

    async def replace_entry(self) -> None:
        name = self.rng.choice(ENTRIES)
        self.frozen.discard(name)
        old = self.running.entries[name]
        old.kill()
        ports = [old.caller_port, old.peer_port, old.admin_port]
        self.running.start_entry(name, "test", ports=ports, module=self.module)

    async def freeze_or_thaw(self) -> None:
        name = self.rng.choice(ENTRIES)
        entry = self.running.entries[name]
        if name in self.frozen:
            self.frozen.discard(name)
            entry.thaw()
        elif not self.frozen:
            self.frozen.add(name)
            entry.freeze()

    async def change_upstream(self) -> None:
        port = self.rng.choice(self.ports)
        await fleet.control(port, mode=self.rng.choice(UPSTREAM_MODES))

    async def check(self) -> None:
        runs: collections.Counter = collections.Counter()
        for port in self.ports:
            runs.update(await fleet.stats(port, "/_runs"))
        assert self.identities
        for identity in self.identities:
            reported = self.reported[identity]
            assert runs[identity] <= 1, "two runs"
            assert not (reported.not_run and runs[identity]), (
                "an action reported as not run has run"
            )
            assert len(reported.bodies) <= 1, "a repeat got another answer"
            assert not (reported.not_run and reported.bodies)


async def fuzz(seed: int, module: str = "sesamevale.daemon") -> None:
    async with fleet.Fleet() as running:
        fleet_fuzz = FleetFuzz(running, seed, module)
        await fleet_fuzz.start()
        await fleet_fuzz.run()
        await fleet_fuzz.check()


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_actions_run_at_most_once_through_random_faults(seed):
    asyncio.run(fuzz(seed))


def test_fuzz_detects_entries_that_run_repeats():
    with pytest.raises(AssertionError, match="two runs"):
        asyncio.run(fuzz(1, "tests.standins.non_deduplicating_entry"))
