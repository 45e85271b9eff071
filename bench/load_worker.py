"""Generates open-loop load on one service and prints the results as JSON.

Each call carries the time that its work takes, so that the same arrivals can
be given to an ideal queue. With ``--send-work=0``, and for actions, the
upstreams draw the time themselves from the same distribution, anew for each
attempt.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import math
import random
import time

from demo import callers

# Standard deviation of the logarithm of the work, which is log-normal.
SIGMA = 1.0


class Load:
    """Calls of one service at a given rate.

    Args:
        arguments: Command line of this program.
    """

    def __init__(self, arguments: argparse.Namespace) -> None:
        self._arguments = arguments
        self._rng = random.Random(arguments.seed)
        ports = [int(port) for port in arguments.entries.split(",")]
        self._ports = ports
        service = arguments.service if arguments.steered else ""
        self._directories = [
            callers.Directory(ports, service, random.Random(seed))
            for seed in range(arguments.callers)
        ]
        self._mu = math.log(arguments.mean_ms) - SIGMA**2 / 2
        self._call_results = callers.CallResults()
        self.calls: list[list[object]] = []

    async def run(self) -> None:
        """Sends calls until the time is over and waits until all have ended."""
        started = time.monotonic()
        tasks = []
        due = started
        until = started + self._arguments.seconds
        while due < until:
            due += self._rng.expovariate(self._rate(due - started))
            pause = due - time.monotonic()
            if pause > 0:
                await asyncio.sleep(pause)
            tasks.append(asyncio.ensure_future(self._call(due - started)))
        await asyncio.gather(*tasks)

    def _rate(self, elapsed: float) -> float:
        """Returns the calls a second; a step load starts at a tenth.

        Args:
            elapsed: Seconds since the start; the step is at half time.
        """
        low = self._arguments.step and elapsed < self._arguments.seconds / 2
        return self._arguments.rate / (10.0 if low else 1.0)

    async def _call(self, due: float) -> None:
        directory = self._rng.choice(self._directories)
        work_ms = self._rng.lognormvariate(self._mu, SIGMA)
        path = f"/{self._arguments.service}/x"
        headers = {}
        if self._arguments.send_work:
            headers["x-work-ms"] = f"{work_ms:.3f}"
        started = time.monotonic()
        if self._arguments.actions:
            result = await callers.run_action(
                directory, path, self._call_results
            )
        elif self._arguments.skewed:
            result = await self._call_skewed(directory, path, headers)
        else:
            result = await callers.call(directory, path, headers, 10.0)
        seconds = time.monotonic() - started
        self.calls.append(
            [due, work_ms / 1000, seconds, result.outcome, result.reason]
        )

    async def _call_skewed(
        self, directory: callers.Directory, path: str, headers: dict[str, str]
    ) -> callers.Result:
        """Calls through a random entry that the directory does not influence.

        Every second entry has twice the weight of the others.
        """
        weights = [2 if index % 2 else 1 for index in range(len(self._ports))]
        port = self._rng.choices(self._ports, weights)[0]
        answer, _ = await directory.request(port, "GET", path, headers, b"")
        if answer is None:
            return callers.Result("unknown", 0.0, 1)
        outcome = answer.headers.get("sesamevale-outcome", "answered")
        return callers.Result(outcome, 0.0, 1)


def main() -> None:
    """Generates the load and prints all calls."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--entries", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--rate", type=float, required=True)
    parser.add_argument("--seconds", type=float, required=True)
    parser.add_argument("--mean-ms", type=float, required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--callers", type=int, default=16)
    parser.add_argument("--steered", type=int, default=1)
    parser.add_argument("--actions", type=int, default=0)
    parser.add_argument("--send-work", type=int, default=1)
    parser.add_argument("--step", type=int, default=0)
    parser.add_argument("--skewed", type=int, default=0)
    load = Load(parser.parse_args())
    asyncio.run(load.run())
    print(json.dumps(load.calls))


if __name__ == "__main__":
    main()
