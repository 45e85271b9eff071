"""Where requests of callers enter the forwarding of one entry."""

from __future__ import annotations

import dataclasses
import itertools
from typing import TYPE_CHECKING

from sesamevale.forwarding import messages
from sesamevale.forwarding import service_task
from sesamevale.policy import route_matching
from sesamevale.policy import splits

if TYPE_CHECKING:
    from sesamevale import http1
    from sesamevale import routes
    from sesamevale.forwarding import requests
    from sesamevale.policy import registered_peers as peers

__all__ = ["RequestRouter", "RoutingView"]


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingView:
    """What one entry currently knows; replaced as a whole on each change.

    Attributes:
        configuration: Configuration in force, if there is one.
        confirmed_at: Monotonic time in seconds at which the store was last
            seen to hold it.
        upstreams_loaded: Whether the upstreams have been read.
        members: Entries that callers may be sent to.
        stopping: Whether this entry is leaving.
    """

    configuration: routes.Configuration | None = None
    confirmed_at: float = float("-inf")
    upstreams_loaded: bool = False
    members: tuple[peers.Peer, ...] = ()
    stopping: bool = False

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        known = self.configuration is not None and self.upstreams_loaded
        return known and not self.stopping


class RequestRouter:
    """Hands each request to the task of its service.

    Args:
        dialect: Header fields.
        config_bound_s: Time within which a version must be in force, in
            seconds. A route that was missing at a read within this time is
            rightly not known.
    """

    def __init__(self, dialect: http1.Dialect, config_bound_s: float) -> None:
        self._dialect = dialect
        self._config_bound_s = config_bound_s
        self._view = RoutingView()
        self._tasks: dict[str, service_task.ServiceTask] = {}
        self._splitter = splits.WeightedSplitter()
        self._numbers = itertools.count(1)
        self._active_count = 0

    @property
    def dialect(self) -> http1.Dialect:
        """Header fields."""
        return self._dialect

    @property
    def view(self) -> RoutingView:
        """What this entry currently knows."""
        return self._view

    @property
    def tasks(self) -> dict[str, service_task.ServiceTask]:
        """Tasks by service."""
        return self._tasks

    @property
    def active_count(self) -> int:
        """Requests that have entered here and not ended."""
        return self._active_count

    def set_view(self, view: RoutingView) -> None:
        """Replaces what this entry knows."""
        self._view = view
        if view.configuration is not None:
            self._splitter.retain_routes(
                {
                    route.name
                    for of_host in view.configuration.routes.values()
                    for route in of_host
                }
            )

    def next_request_number(self) -> int:
        """Returns a number that no other request of this process has."""
        return next(self._numbers)

    def request_started(self) -> None:
        """Counts a request as active."""
        self._active_count += 1

    def request_ended(self) -> None:
        """Counts a request as ended."""
        self._active_count -= 1

    def find_route(self, host: str, target: str) -> routes.Route | None:
        """Returns the route of a request; None if there is none."""
        configuration = self._view.configuration
        if configuration is None:
            return None
        return route_matching.find_route(configuration, host, target)

    def is_confirmed(self, now: float) -> bool:
        """Whether the configuration was in the store a moment ago."""
        return now - self._view.confirmed_at <= self._config_bound_s

    def choose_service(self, route: routes.Route) -> str:
        """Returns the service for the next request of a route."""
        return self._splitter.choose(route)

    def submit(self, request: requests.Request) -> bool:
        """Hands a request over; False if its service has no task."""
        task = self._tasks.get(request.service)
        if task is None:
            return False
        task.send(messages.Submit(request))
        return True

    def caller_gone(self, request: requests.Request) -> None:
        """Tells that nobody waits for an answer any more."""
        task = self._tasks.get(request.service)
        if task is not None:
            task.send(messages.CallerGone(request.number))
