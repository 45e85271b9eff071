"""Entry for one service with documents of its own, in the test process."""

from __future__ import annotations

import contextlib
import time

from sesamevale import documents as document_types
from sesamevale import metrics
from sesamevale.callers import caller_server
from sesamevale.dispatching import dispatcher
from sesamevale.dispatching import router
from sesamevale.policy.calls import dispatch
from tests.builders import documents
from tests.builders import policy_values

HOST = "127.0.0.1"
SERVICE = "till"
LIMITS = document_types.Limits(
    header_bytes=8192,
    body_bytes=8192,
    connections=10,
    connections_per_address=10,
    idle_ms=5000,
    header_read_ms=5000,
)


class DispatchingEntry:
    """Serves callers over sockets while its context is open.

    Args:
      upstream: Stand-in, which is opened and closed with the entry.
    """

    def __init__(self, upstream):
        self.upstream = upstream

    async def __aenter__(self):
        self._stack = contextlib.AsyncExitStack()
        await self._stack.__aenter__()
        await self._stack.enter_async_context(self.upstream)
        rules = [
            documents.read_rule(SERVICE),
            documents.write_rule(SERVICE, identity_required=False),
        ]
        ports = [self.upstream.port]
        submitted = documents.service(SERVICE, ports, rules=rules)
        environment = documents.environment({SERVICE: submitted})
        self.service = environment.services[SERVICE]
        policy = dispatch.DispatchPolicy(self.service, "e1", time.monotonic())
        task = dispatcher.Dispatcher(
            self.service, policy, lambda entry_id: None
        )
        self.task = await self._stack.enter_async_context(task)
        view = router.ClusterView(
            policy_values.member("e1"), environment, {}, (), {}
        )
        self.router = router.CallRouter(view, None, None)
        self.router.dispatchers[SERVICE] = self.task
        server = caller_server.CallerServer(
            HOST, 0, self.router, None, metrics.MetricsRecorder(), LIMITS
        )
        self._server = await self._stack.enter_async_context(server)
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.__aexit__(*exc_info)

    @property
    def port(self) -> int:
        return self._server.port
