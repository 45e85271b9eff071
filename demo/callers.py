"""Callers that choose entries by the directory, as users' programs would."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import json
import random
import time
import uuid

from tests.builders import fleet
from tests.standins import http_client

__all__ = ["Directory", "Result", "CallResults", "call", "run_action"]

RETRY_PAUSE_S = 0.05
DIRECTORY_PATH = "/.well-known/sesamevale/directory"


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """How one call ended for its caller.

    Attributes:
        outcome: ``answered``, ``not-run`` or ``unknown``.
        seconds: Time from the call to its end.
        tries: Number of requests that the caller sent.
        reason: Reason for an outcome other than an answer, or the status of an
            error answer; otherwise empty.
        crossed: Whether the answer belongs to another request.
        cut: Whether a connection broke after a request was sent on it.
    """

    outcome: str
    seconds: float
    tries: int
    reason: str = ""
    crossed: bool = False
    cut: bool = False


class Directory:
    """One caller's copy of the directory of a service, and its connections.

    Args:
        ports: Caller ports of entries to read the first directory from.
        service: Name of the service.
        rng: Source of random numbers for the choice of entries.
    """

    def __init__(
        self, ports: list[int], service: str, rng: random.Random
    ) -> None:
        self._initial_ports = list(ports)
        self._service = service
        self._rng = rng
        self._entries: list[tuple[int, int]] = []
        self._expires_at = 0.0
        self._avoid_until: dict[int, float] = {}
        self._ticket = ""
        self._clients: dict[int, list[http_client.Client]] = {}

    async def choose_port(self) -> int:
        """Returns the caller port of the entry to use for the next call.

        Reads the directory again if it has expired. Chooses at random among
        the entries with the highest weight; entries that were given to
        ``avoid_entry`` count only if there are no others.
        """
        if time.monotonic() >= self._expires_at:
            await self._refresh()
        now = time.monotonic()
        allowed = [
            entry
            for entry in self._entries
            if self._avoid_until.get(entry[0], 0.0) < now
        ] or self._entries
        best = max((weight for _, weight in allowed), default=1)
        ports = [port for port, weight in allowed if weight == best]
        return self._rng.choice(ports or self._initial_ports)

    async def ticket(self) -> str:
        """Returns the ticket of the current directory, for a new action."""
        if time.monotonic() >= self._expires_at or not self._ticket:
            await self._refresh()
        return self._ticket

    def avoid_entry(self, port: int) -> None:
        """Avoids an entry for one second and expires the directory."""
        self._avoid_until[port] = time.monotonic() + 1.0
        self._expires_at = 0.0

    async def request(
        self, port: int, method: str, path: str, headers: dict, body: bytes
    ) -> tuple[http_client.Answer | None, bool]:
        """Sends one request on an idle or a new connection to an entry.

        Returns:
            The answer, or None if the connection failed, and whether the
            connection was refused.
        """
        idle = self._clients.setdefault(port, [])
        client = idle.pop() if idle else http_client.Client(fleet.HOST, port)
        answer = await client.call(method, path, headers, body)
        if answer is None:
            client.close()
        else:
            idle.append(client)
        return answer, client.refused

    def close(self) -> None:
        """Closes all connections."""
        for clients in self._clients.values():
            for client in clients:
                client.close()

    async def _refresh(self) -> None:
        known = [port for port, _ in self._entries] or self._initial_ports
        order = list(dict.fromkeys([*known, *self._initial_ports]))
        self._rng.shuffle(order)
        for port in order:
            path = f"{DIRECTORY_PATH}?service={self._service}"
            answer, _ = await self.request(port, "GET", path, {}, b"")
            if answer is None or answer.status != 200:
                continue
            content = json.loads(answer.body)
            self._entries = [
                (entry["port"], entry["weight"]) for entry in content["entries"]
            ]
            self._ticket = content["ticket"]
            lifetime_s = content["lifetime_ms"] / 1000
            self._expires_at = time.monotonic() + lifetime_s
            return


async def call(
    directory: Directory,
    path: str,
    headers: dict[str, str] | None = None,
    deadline_s: float = 3.0,
) -> Result:
    """Makes one repeatable call; sends it again if a connection fails.

    Returns:
        The result; ``unknown`` if no entry answered within the deadline.
    """
    started = time.monotonic()
    request = uuid.uuid4().hex
    tries = 0
    cut = False
    while time.monotonic() - started < deadline_s:
        tries += 1
        port = await directory.choose_port()
        fields = {"x-request": request} | (headers or {})
        answer, refused = await directory.request(
            port, "GET", path, fields, b""
        )
        seconds = time.monotonic() - started
        if answer is None:
            cut |= not refused
            directory.avoid_entry(port)
            continue
        result = _decode_answer(answer, seconds, tries, request)
        return dataclasses.replace(result, cut=cut)
    seconds = time.monotonic() - started
    return Result("unknown", seconds, tries, "no_entry", cut=cut)


async def run_action(
    directory: Directory,
    path: str,
    call_results: CallResults,
    deadline_s: float = 6.0,
) -> Result:
    """Runs one action at most once; repeats it until its outcome is known.

    An action that cannot have reached an entry before gets a new identity if
    the entry that issued the first one is gone.

    Returns:
        The result; ``unknown`` if no entry answered within the deadline.
    """
    started = time.monotonic()
    identity = ""
    tries = 0
    while time.monotonic() - started < deadline_s:
        if not identity:
            identity = f"{await directory.ticket()}~{uuid.uuid4().hex}"
            call_results.actions.append(identity)
            may_have_arrived = False
        tries += 1
        port = await directory.choose_port()
        answer, refused = await _send_action(directory, port, path, identity)
        if answer is None:
            may_have_arrived |= not refused
            directory.avoid_entry(port)
            await asyncio.sleep(RETRY_PAUSE_S)
            continue
        seconds = time.monotonic() - started
        result = _decode_answer(answer, seconds, tries, identity)
        if result.reason == "issuer_gone" and not may_have_arrived:
            identity = ""
            directory.avoid_entry(port)
            continue
        if result.outcome == "not-run":
            call_results.not_run.add(identity)
        return dataclasses.replace(result, cut=may_have_arrived)
    return Result("unknown", time.monotonic() - started, tries, "no_entry")


async def _send_action(
    directory: Directory, port: int, path: str, identity: str
) -> tuple[http_client.Answer | None, bool]:
    headers = {
        "idempotency-key": identity,
        "x-action": identity,
        "x-request": identity,
    }
    return await directory.request(port, "POST", path, headers, b"{}")


def _decode_answer(
    answer: http_client.Answer, seconds: float, tries: int, request: str
) -> Result:
    outcome = answer.headers.get("sesamevale-outcome", "")
    if outcome:
        reason = json.loads(answer.body)["reason"]
        return Result(outcome, seconds, tries, reason)
    if answer.status >= 400:
        return Result("answered", seconds, tries, str(answer.status))
    crossed = json.loads(answer.body)["request"] != request
    return Result("answered", seconds, tries, "", crossed)


@dataclasses.dataclass(slots=True)
class CallResults:
    """Results of many calls by service, and the identities of all actions."""

    results: dict[str, list[Result]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    actions: list[str] = dataclasses.field(default_factory=list)
    not_run: set[str] = dataclasses.field(default_factory=set)

    def add(self, service: str, result: Result) -> None:
        """Adds the result of one call of a service."""
        self.results[service].append(result)
