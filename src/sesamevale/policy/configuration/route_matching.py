"""Choice of a route by host and longest prefix."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sesamevale import routes

__all__ = ["find_route", "split_host"]


def split_host(value: str) -> str:
    """Returns the host of a Host field without its port, in lower case."""
    host, colon, port = value.rpartition(":")
    if colon and port.isdigit() and not host.endswith(":"):
        return host.lower()
    return value.lower()


def find_route(
    configuration: routes.Configuration, host: str, target: str
) -> routes.Route | None:
    """Returns the route of a request; None if there is none.

    Args:
        configuration: Configuration in force.
        host: Value of the Host field.
        target: Request target with its query.
    """
    path = target.partition("?")[0]
    for route in configuration.routes.get(split_host(host), ()):
        if path.startswith(route.prefix):
            return route
    return None
