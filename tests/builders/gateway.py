"""Builders of routes, upstreams, requests and loads for the gateway."""

from __future__ import annotations

import itertools
import math
import time

from sesamevale import calls
from sesamevale import routes
from sesamevale.forwarding import requests
from sesamevale.policy.balancing import upstream_state
from sesamevale.policy.configuration import credentials

_numbers = itertools.count(1)


def route(**changes) -> routes.Route:
    values = {
        "name": "read",
        "host": "a.example",
        "prefix": "/read/",
        "repeatable": True,
        "timeout_s": 2.0,
        "objective_s": 0.6,
        "priority": 1,
        "parts": (routes.SplitPart("sheet", 1),),
        "upstreams_max": 2,
    }
    return routes.Route(**(values | changes))


def tenant(name="acme", keys=("key-1",), **changes) -> routes.Tenant:
    digests = tuple(credentials.digest_of(key.encode()) for key in keys)
    return routes.Tenant(name, digests, **changes)


def configuration(version=1, all_routes=None, services=("sheet",), tenants=()):
    all_routes = [route()] if all_routes is None else all_routes
    by_host: dict[str, list[routes.Route]] = {}
    for each in all_routes:
        by_host.setdefault(each.host, []).append(each)
    return routes.Configuration(
        version,
        {
            host: tuple(sorted(found, key=lambda each: -len(each.prefix)))
            for host, found in by_host.items()
        },
        {name: routes.Service(name, "/health", 100) for name in services},
        routes.CallerLimits(),
        {each.name: each for each in tenants},
    )


def upstream(upstream_id="u-1", **changes) -> routes.UpstreamRecord:
    values = {
        "upstream_id": upstream_id,
        "service": "sheet",
        "host": "127.0.0.1",
        "port": 1,
        "data_center": "here",
        "slots": 4,
        "draining": False,
        "warmup_s": 0.0,
        "started_ms": 1000,
        "sequence": 1,
    }
    return routes.UpstreamRecord(**(values | changes))


def load(running=0, waiting=0, slots=4, slowdown=1.0) -> upstream_state.Load:
    return upstream_state.Load(running, waiting, slots, slowdown)


def request(
    matched_route=None, *, timeout_s=None, **changes
) -> requests.Request:
    matched_route = route() if matched_route is None else matched_route
    now = time.monotonic()
    timeout_s = matched_route.timeout_s if timeout_s is None else timeout_s
    values = {
        "number": next(_numbers),
        "request_id": b"attempt-1",
        "route": matched_route,
        "service": matched_route.parts[0].service,
        "version": 1,
        "method": b"GET",
        "target": b"/read/1",
        "headers": ((b"host", b"a.example"), (b"x-attempt-id", b"attempt-1")),
        "body": None,
        "arrived": now,
        "deadline": now
        + (matched_route.timeout_s if timeout_s is None else timeout_s),
        "caller_deadline": math.inf,
        "answer": calls.AnswerChannel(),
    }
    return requests.Request(**(values | changes))
