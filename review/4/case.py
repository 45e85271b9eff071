"""After a cut from the store, an entry uses upstreams that have left.

The only entry of a zone is cut off from the store for some seconds, several
times. Shortly after each cut, upstreams leave: their entries are removed. Once
the entry is in touch again, users come. The service reports no load. Without
the trouble, the entry is never cut off.
"""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import random
import socket
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import standins  # noqa: E402

CONTACT_S = 3.0
DRAIN_S = 2.0
CUT_S = 4.5
CYCLES = 9
UPSTREAMS = 12
LEAVING = 3
# From the end of the cut to the removal of the upstreams.
LEAVE_AFTER_S = 0.5
# An upstream serves for this long after it has left the store.
SERVE_ON_S = 3.0
USERS_AFTER_S = CONTACT_S + 0.1
USERS = 24
USERS_S = 0.3
WORK_S = 0.55


class Cut:
    """Proxy in front of the store that can drop everything that is sent.

    While it is cut, established connections carry nothing, and new ones are
    not established, as if their packets were lost.
    """

    def __init__(self, store_port: int) -> None:
        self._store_port = store_port
        self._socket = socket.create_server((standins.HOST, 0), backlog=0)
        self._socket.setblocking(False)
        self.port = self._socket.getsockname()[1]
        self._open = asyncio.Event()
        self._open.set()
        self._fillers: list[socket.socket] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._acceptor: asyncio.Task[None] | None = None

    async def __aenter__(self):
        self._acceptor = asyncio.create_task(self._accept())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in [self._acceptor, *self._tasks]:
            task.cancel()
        for filler in self._fillers:
            filler.close()
        self._socket.close()

    def cut(self) -> None:
        """Starts to drop everything."""
        self._open.clear()
        self._acceptor.cancel()
        # A full queue of new connections makes the kernel drop further ones.
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((standins.HOST, self.port))
            self._fillers.append(filler)

    def heal(self) -> None:
        """Carries everything again."""
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._open.set()
        self._acceptor = asyncio.create_task(self._accept())

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            accepted, _ = await loop.sock_accept(self._socket)
            task = asyncio.create_task(self._carry(accepted))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _carry(self, accepted: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=accepted)
        store_reader, store_writer = await asyncio.open_connection(
            standins.HOST, self._store_port
        )
        try:
            await asyncio.gather(
                self._pump(reader, store_writer),
                self._pump(store_reader, writer),
            )
        except OSError:
            pass
        finally:
            writer.transport.abort()
            store_writer.transport.abort()

    async def _pump(self, reader, writer) -> None:
        while data := await reader.read(1 << 16):
            await self._open.wait()
            writer.write(data)
        writer.write_eof()


class LeavingUpstream(standins.Upstream):
    """A sound upstream without load reports that may leave."""

    def __init__(self, name: str, ran: dict[str, str]) -> None:
        super().__init__(name, ran)
        self.reports_load = False
        self.work_s = WORK_S
        self.removed_at = 0.0
        self.arrivals: list[tuple[float, str]] = []

    def signals(self) -> dict[str, str]:
        """Returns the header fields of each answer."""
        return {"Server-Leaving": "1"} if self.removed_at else {}

    def arrived(self, attempt: str) -> None:
        """Records that a request has arrived."""
        self.arrivals.append((time.monotonic(), attempt))


class Cycle:
    """One cut, the upstreams that leave after it, and the users."""

    def __init__(self, store, cut, entry, ran, record) -> None:
        self._store = store
        self._cut = cut
        self._entry = entry
        self._ran = ran
        self._record = record
        self.sent_at: dict[str, float] = {}

    async def play(self, number: int, trouble: bool) -> list[str]:
        """Returns the requests that reached a left upstream too late."""
        async with contextlib.AsyncExitStack() as stack:
            upstreams = await self._start_upstreams(stack, number)
            await asyncio.sleep(2.0)
            if trouble:
                self._record.write("the entry is cut off from the store")
                self._cut.cut()
            await asyncio.sleep(CUT_S)
            ended_at = time.monotonic()
            if trouble:
                self._cut.heal()
                self._record.write("the cut ends")
            await asyncio.sleep(LEAVE_AFTER_S)
            leaving = random.sample(upstreams, LEAVING)
            for upstream in leaving:
                self._store.remove(f"servers/{upstream.name}")
                upstream.removed_at = time.monotonic()
                self._record.write(f"{upstream.name} is removed")
            wait_s = ended_at + USERS_AFTER_S - time.monotonic()
            await asyncio.sleep(wait_s)
            users = asyncio.create_task(self._send_users(number))
            left_s = leaving[0].removed_at + SERVE_ON_S - time.monotonic()
            await asyncio.sleep(left_s)
            for upstream in leaving:
                await upstream.__aexit__()
            self._record.write("the upstreams that have left end")
            await users
            for upstream in upstreams:
                self._store.remove(f"servers/{upstream.name}")
        return [
            attempt
            for upstream in leaving
            for at, attempt in upstream.arrivals
            if self._is_late(attempt, at, upstream)
        ]

    def _is_late(self, attempt, at, upstream) -> bool:
        late_s = self.sent_at[attempt] - upstream.removed_at
        self._record.write(
            f"{upstream.name} got {attempt}, which was sent {late_s:.2f} s"
            " after its removal"
        )
        return late_s > DRAIN_S

    async def _start_upstreams(self, stack, number: int) -> list:
        upstreams = []
        for index in range(UPSTREAMS):
            upstream = LeavingUpstream(f"i-{number}-{index}", self._ran)
            await stack.enter_async_context(upstream)
            upstreams.append(upstream)
            self._store.put(
                f"servers/{upstream.name}",
                standins.heartbeat("sheet", upstream.port, "taff"),
            )
        return upstreams

    async def _send_users(self, number: int) -> None:
        """Lets users come, each with a few requests."""
        results: list[standins.Result] = []
        until = time.monotonic() + USERS_S
        clients = [
            standins.Client(f"user{number}-{each}", self._entry.port, results)
            for each in range(USERS)
        ]
        for client in clients:
            client.on_send = self._note_sent
        await asyncio.gather(
            *(
                client.run("/sheet/", bytes(100), 0.1, until)
                for client in clients
            )
        )
        for each in results:
            self._record.write(
                f"request {each.attempt}: answer {each.answer}, run by"
                f" {self._ran.get(each.attempt, 'none')}"
            )

    def _note_sent(self, attempt: str) -> None:
        self.sent_at[attempt] = time.monotonic()


async def main(record: standins.Record, trouble: bool) -> bool:
    """Plays the case; returns whether the rule held."""
    ran: dict[str, str] = {}
    late: list[str] = []
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(standins.Store())
        routes = [standins.route("sheet", "/sheet/", "unsafe", "sheet")]
        store.put("op/config", standins.configuration("r1", ["sheet"], routes))
        cut = await stack.enter_async_context(Cut(store.port))
        entry = standins.Entry("front-taff-1", "taff", cut.port)
        stack.callback(entry.end)
        entry.start()
        await entry.wait_ready()
        cycle = Cycle(store, cut, entry, ran, record)
        for number in range(CYCLES):
            late += await cycle.play(number, trouble)
    record.write(
        f"users' requests {len(cycle.sent_at)}, of these at an upstream more"
        f" than {DRAIN_S:g} s after its removal: {len(late)}"
    )
    if len(cycle.sent_at) < USERS * CYCLES:
        raise standins.CannotRunError("hardly any request was sent")
    return not late


if __name__ == "__main__":
    standins.run(main, FOLDER)
