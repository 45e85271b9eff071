"""Builders of items in the platform's store, in their wire format."""

from __future__ import annotations

import base64
import json


def encode(content: object) -> str:
    return base64.b64encode(json.dumps(content).encode()).decode()


def item(key: str, content: object, revision: int = 1) -> dict:
    return {
        "key": key,
        "value": encode(content),
        "revision": revision,
        "created": 1,
        "lease": 0,
    }


def heartbeat(**changes) -> dict:
    values = {
        "service": "sheet",
        "address": "10.0.0.9:8080",
        "zone": "here",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "warmupLeftMs": 0,
        "seqNo": 4,
        "born": 1000,
    }
    return values | changes


def evacuation(data_center: str) -> dict:
    return item(f"op/evacuate/{data_center}", {})


def route(**changes) -> dict:
    values = {
        "name": "read",
        "prefix": "/read/",
        "kind": "safe",
        "timeoutMs": 2000,
        "targetLatencyMs": 600,
        "priority": 2,
        "service": "sheet",
        "maxAttempts": 2,
    }
    return values | changes


def config(version: str = "r7", paths: list[dict] | None = None) -> dict:
    return {
        "version": version,
        "services": [
            {"name": "sheet", "healthPath": "/health", "maxConnections": 220}
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 65536,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "virtualHosts": [
            {
                "host": "a.example",
                "paths": [route()] if paths is None else paths,
            }
        ],
    }
