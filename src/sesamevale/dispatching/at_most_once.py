"""Task that owns the register of actions that run at most once."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import hashlib
import secrets
import time
from typing import TYPE_CHECKING

from sesamevale import calls
from sesamevale import messaging
from sesamevale import outcomes
from sesamevale.policy.register import identity
from sesamevale.policy.register import register

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = [
    "Bar",
    "Message",
    "RegisterTask",
    "SubmitAction",
    "collect_answer",
    "put_outcome",
]

EXPIRE_INTERVAL_S = 1.0
NONCE_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitAction:
    """Command to handle a call with an identity that this entry issued."""

    call: calls.Call
    identity: identity.Identity


@dataclasses.dataclass(frozen=True, slots=True)
class Bar:
    """Command to prevent an action from running, unless it has started.

    Attributes:
        identity: Identity of the action; issued by this entry.
        reply: Future that receives the result.
    """

    identity: identity.Identity
    reply: asyncio.Future[
        register.Barred | register.CannotBar | register.Replay
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class _ActionEnded:
    """Event that an action has an outcome."""

    key: str
    outcome: outcomes.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class _Expire:
    """Command to remove actions whose tickets have expired."""


Message = SubmitAction | Bar | _ActionEnded | _Expire


class RegisterTask(messaging.Actor[Message]):
    """Runs each action at most once and returns its outcome to every repeat.

    Args:
        action_register: The register.
        run: Sends a call to its dispatcher.
    """

    def __init__(
        self,
        action_register: register.Register,
        run: Callable[[calls.Call], None],
    ) -> None:
        super().__init__("register")
        self._action_register = action_register
        self._run_call = run
        self._waiting: dict[str, list[calls.Call]] = {}
        self._collectors: set[asyncio.Task[None]] = set()
        self._clock_offset = time.time() - time.monotonic()
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(EXPIRE_INTERVAL_S, self._tick)

    @property
    def action_register(self) -> register.Register:
        """The register, for reports; only this task may change it."""
        return self._action_register

    @property
    def running(self) -> int:
        """Actions that run, whether or not a caller waits for them."""
        return len(self._waiting)

    async def __aexit__(self, *exc_info: object) -> None:
        self._timer.cancel()
        for collector in self._collectors:
            collector.cancel()
        await super().__aexit__(*exc_info)

    def clock(self) -> float:
        """Returns the time on a clock that never runs backwards.

        It counts seconds since the epoch from the system's time at the start
        of the task, and ignores later changes of that time.
        """
        return self._clock_offset + time.monotonic()

    def issue_ticket(self, entry_id: str, incarnation: int) -> identity.Ticket:
        """Issues a ticket for an incarnation of this entry."""
        expires_s = int(self.clock()) + self._action_register.window_s
        nonce = secrets.token_hex(NONCE_BYTES)
        return identity.Ticket(entry_id, incarnation, expires_s, nonce)

    def receive(self, message: Message) -> None:
        """Implements ``messaging.Actor``."""
        _receive(message, self)

    def _start(self, call: calls.Call, key: str) -> None:
        """Runs an action with a separate answer channel.

        The outcome then reaches the register, and the caller and all repeats
        receive a copy.
        """
        action_call = dataclasses.replace(call, answer=calls.AnswerChannel())
        self._waiting[key] = [call]
        collector = asyncio.create_task(self._collect(action_call, key))
        self._collectors.add(collector)
        collector.add_done_callback(self._collectors.discard)
        self._run_call(action_call)

    async def _collect(self, call: calls.Call, key: str) -> None:
        outcome = await collect_answer(call.answer)
        for waiting in self._waiting.get(key, ()):
            waiting.upstream_seconds = call.upstream_seconds
        self.send(_ActionEnded(key, outcome))

    def _tick(self) -> None:
        self.send(_Expire())
        self._timer = self._loop.call_later(EXPIRE_INTERVAL_S, self._tick)


async def collect_answer(channel: calls.AnswerChannel) -> outcomes.Outcome:
    """Reads an answer into memory and returns the outcome of the call."""
    head: calls.AnswerHead | None = None
    body = bytearray()
    while True:
        message = await channel.get()
        if isinstance(message, calls.AnswerHead):
            head = message
        elif isinstance(message, calls.AnswerData):
            body += message.data
        elif isinstance(message, calls.AnswerFailed):
            return message.outcome
        elif head is not None:
            answer = outcomes.Answer(head.status, head.headers, bytes(body))
            return outcomes.Answered(answer)


def put_outcome(
    channel: calls.AnswerChannel, outcome: outcomes.Outcome
) -> None:
    """Writes the messages of an outcome to an answer channel."""
    if not isinstance(outcome, outcomes.Answered):
        channel.put(calls.AnswerFailed(outcome))
        return
    answer = outcome.answer
    channel.put(calls.AnswerHead(answer.status, answer.headers))
    if answer.body:
        channel.put(calls.AnswerData(answer.body))
    channel.put(calls.AnswerEnd())


def _fingerprint(call: calls.Call) -> str:
    digest = hashlib.blake2b(digest_size=16)
    for part in (call.method, call.target, call.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


@functools.singledispatch
def _receive(message: Message, task: RegisterTask) -> None:
    raise TypeError(f"no handler for {type(message).__name__}")


@_receive.register
def _(message: SubmitAction, task: RegisterTask) -> None:
    call = message.call
    decision = task._action_register.submit(
        message.identity, _fingerprint(call), task.clock()
    )
    key = str(message.identity)
    if isinstance(decision, register.Run):
        task._start(call, key)
    elif isinstance(decision, register.Join):
        task._waiting[key].append(call)
    else:
        put_outcome(call.answer, decision.outcome)


@_receive.register
def _(message: Bar, task: RegisterTask) -> None:
    result = task._action_register.bar(message.identity, task.clock())
    if not message.reply.done():
        message.reply.set_result(result)


@_receive.register
def _(message: _ActionEnded, task: RegisterTask) -> None:
    task._action_register.settle(message.key, message.outcome)
    for call in task._waiting.pop(message.key, []):
        put_outcome(call.answer, message.outcome)


@_receive.register
def _(message: _Expire, task: RegisterTask) -> None:
    task._action_register.expire(task.clock())
