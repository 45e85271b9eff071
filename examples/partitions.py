"""Workers that share partitions, built on ``sesamevale.api``.

This program is not a load balancer. Each worker gossips with the others and
owns the partitions for which it has the highest rendezvous score among the
workers that are alive. Start several, each with the port of another one:

    python examples/partitions.py --name a --port 7401 --seed 7402
    python examples/partitions.py --name b --port 7402 --seed 7401
"""

from __future__ import annotations

import argparse
import asyncio
import random
import time

from sesamevale import api

HOST = "127.0.0.1"
PARTITIONS = tuple(f"partition-{number}" for number in range(12))


def owned_partitions(membership: api.Membership) -> list[str]:
    """Returns the partitions that this worker owns."""
    alive = [member.entry_id for member in membership.usable]
    own = membership.own.entry_id
    return [
        partition
        for partition in PARTITIONS
        if max(alive, key=lambda name: api.score(partition, name)) == own
    ]


async def run_worker(name: str, port: int, seed: int, seconds: float) -> None:
    """Runs a worker for some seconds and prints each change of ownership."""
    incarnation = time.time_ns() // 1_000_000
    own = api.Member(
        name, incarnation, 0, api.Status.ALIVE, "here", HOST, 0, port
    )
    membership = api.Membership(
        own, "partitions", api.Timing(), random.Random()
    )
    membership.seed(HOST, seed)

    def report() -> None:
        print(name, *owned_partitions(membership), flush=True)

    recorder = api.Book()
    async with api.Gossip(
        membership, HOST, port, report, lambda: None, recorder
    ):
        await asyncio.sleep(seconds)


def main() -> None:
    """Runs one worker with the arguments of the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=10.0)
    arguments = parser.parse_args()
    asyncio.run(
        run_worker(
            arguments.name, arguments.port, arguments.seed, arguments.seconds
        )
    )


if __name__ == "__main__":
    main()
