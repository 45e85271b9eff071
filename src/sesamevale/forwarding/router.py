"""Assignment of requests to the tasks of their services."""

from __future__ import annotations

import dataclasses
import itertools
import math
import time
from typing import TYPE_CHECKING

from sesamevale import outcomes
from sesamevale.forwarding import messages
from sesamevale.forwarding import service_task
from sesamevale.policy.configuration import credentials
from sesamevale.policy.configuration import route_matching
from sesamevale.policy.configuration import splits

if TYPE_CHECKING:
    from sesamevale import http1
    from sesamevale import routes
    from sesamevale.forwarding import requests
    from sesamevale.policy.admission import drain_schedule
    from sesamevale.policy.membership import registered_peers as peers

__all__ = ["RequestRouter", "RoutingView"]


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingView:
    """Immutable state that routing is based on; replaced on each change.

    Attributes:
        configuration: Configuration in force, if there is one.
        confirmed_at: Monotonic time in seconds at which the store was last
            seen to hold it.
        upstreams_loaded: Whether the upstreams have been read from the store.
        members: Entries that callers may be sent to.
        stopping: Whether this entry is shutting down.
    """

    configuration: routes.Configuration | None = None
    confirmed_at: float = float("-inf")
    upstreams_loaded: bool = False
    members: tuple[peers.Peer, ...] = ()
    stopping: bool = False

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        loaded = self.configuration is not None and self.upstreams_loaded
        return loaded and not self.stopping

    def addresses_for(self, data_center: str) -> list[str]:
        """Returns the addresses for callers in a data centre.

        These are the entries of the data centre, or all if it has none.
        """
        same_data_center = [
            each for each in self.members if each.data_center == data_center
        ]
        return [
            f"{each.host}:{each.caller_port}"
            for each in same_data_center or self.members
        ]


class RequestRouter:
    """Passes each request to the task of its service.

    Args:
        dialect: Names of the header fields.
        config_bound_s: Longest time in seconds until a new version must be in
            force. A route that is missing from a configuration confirmed
            within this time does not exist.
        key_lifetime_s: Time in seconds after the last confirmation of the
            configuration for which its keys are accepted.
    """

    def __init__(
        self,
        dialect: http1.Dialect,
        config_bound_s: float,
        key_lifetime_s: float = math.inf,
    ) -> None:
        self._dialect = dialect
        self._config_bound_s = config_bound_s
        self._key_lifetime_s = key_lifetime_s
        self._credentials = credentials.Credentials(None)
        self._view = RoutingView()
        self._tasks: dict[str, service_task.ServiceTask] = {}
        self._splitter = splits.WeightedSplitter()
        self._numbers = itertools.count(1)
        self._active_count = 0
        self._drain_schedule: drain_schedule.DrainSchedule | None = None

    @property
    def dialect(self) -> http1.Dialect:
        """Names of the header fields."""
        return self._dialect

    @property
    def view(self) -> RoutingView:
        """State that routing is currently based on."""
        return self._view

    @property
    def credentials(self) -> credentials.Credentials:
        """Keys of the configuration in force."""
        return self._credentials

    @property
    def tasks(self) -> dict[str, service_task.ServiceTask]:
        """Tasks by name of the service."""
        return self._tasks

    @property
    def active_count(self) -> int:
        """Number of requests that have started and not ended."""
        return self._active_count

    def set_view(self, view: RoutingView) -> None:
        """Replaces the state that routing is based on."""
        if view.configuration is not self._view.configuration:
            self._credentials = credentials.Credentials(view.configuration)
        self._view = view
        if view.configuration is not None:
            self._splitter.retain_routes(
                {
                    route.name
                    for host_routes in view.configuration.routes.values()
                    for route in host_routes
                }
            )

    def next_request_number(self) -> int:
        """Returns a request number that is unique within this process."""
        return next(self._numbers)

    def request_started(self) -> None:
        """Counts the start of a request."""
        self._active_count += 1

    def request_ended(self) -> None:
        """Counts the end of a request."""
        self._active_count -= 1

    def find_route(self, host: str, target: str) -> routes.Route | None:
        """Returns the route of a request; None if there is none."""
        configuration = self._view.configuration
        if configuration is None:
            return None
        return route_matching.find_route(configuration, host, target)

    def is_confirmed(self, now: float) -> bool:
        """Whether the configuration was confirmed within the bound."""
        return now - self._view.confirmed_at <= self._config_bound_s

    def accepts_keys(self, now: float) -> bool:
        """Whether the configuration is recent enough to accept its keys."""
        return now - self._view.confirmed_at <= self._key_lifetime_s

    def choose_service(self, route: routes.Route) -> str:
        """Returns the service for the next request of a route."""
        return self._splitter.choose(route)

    def add_task(self, name: str, task: service_task.ServiceTask) -> None:
        """Adds the task of a service."""
        self._tasks[name] = task
        if self._drain_schedule is not None:
            task.send(messages.StartDrain(self._drain_schedule))

    def start_drain(self, schedule: drain_schedule.DrainSchedule) -> None:
        """Refuses requests that may not end before this entry does."""
        self._drain_schedule = schedule
        for task in self._tasks.values():
            task.send(messages.StartDrain(schedule))

    def end_requests(self) -> None:
        """Ends all requests with their outcomes."""
        for task in self._tasks.values():
            if task.has_failed:
                task.fail_requests()
            else:
                task.send(messages.EndRequests())

    def submit(self, request: requests.Request) -> outcomes.NotRun | None:
        """Passes a request to its task.

        Returns:
            None, or why the request is refused.
        """
        schedule = self._drain_schedule
        if schedule is not None and not schedule.admits(
            time.monotonic(), request.deadline
        ):
            return outcomes.NotRun(outcomes.Reason.STOPPING)
        task = self._tasks.get(request.service)
        if task is None:
            return outcomes.NotRun(outcomes.Reason.NO_UPSTREAM)
        if task.has_failed:
            return outcomes.NotRun(outcomes.Reason.STOPPING)
        task.send(messages.Submit(request))
        return None

    def caller_gone(self, request: requests.Request) -> None:
        """Reports that the caller no longer waits for the answer."""
        task = self._tasks.get(request.service)
        if task is not None:
            task.send(messages.CallerGone(request.number))
