"""Builders of documents, as submitted and as entries hold them."""

from __future__ import annotations

from sesamevale import document_models
from sesamevale import documents

HOST = "127.0.0.1"
DATA_CENTERS = ("rhondda", "cynon", "taff")


def upstream(name: str, port: int, slots: int, index: int = 0) -> dict:
    return {
        "name": name,
        "host": HOST,
        "port": port,
        "data_center": DATA_CENTERS[index % len(DATA_CENTERS)],
        "slots": slots,
    }


def read_rule(prefix: str, **changes: object) -> dict:
    return {
        "name": "read",
        "methods": ["GET", "HEAD"],
        "path": f"/{prefix}/**",
        "repeatable": True,
        "deadline_ms": 2000,
        "priority": 1,
        **changes,
    }


def write_rule(prefix: str, **changes: object) -> dict:
    return {
        "name": "write",
        "methods": ["POST"],
        "path": f"/{prefix}/**",
        "repeatable": False,
        "deadline_ms": 3000,
        "priority": 0,
        **changes,
    }


def service(
    prefix: str,
    ports: list[int],
    slots: int = 4,
    rules: list[dict] | None = None,
    **changes: object,
) -> dict:
    return {
        "upstreams": [
            upstream(f"{prefix}-{index}", port, slots, index)
            for index, port in enumerate(ports)
        ],
        "rules": rules or [read_rule(prefix), write_rule(prefix)],
        **changes,
    }


def document(
    services: dict[str, dict],
    environment: str = "test",
    **settings: object,
) -> document_models.DocumentModel:
    defaults = {"directory_lifetime_ms": 500}
    return document_models.DocumentModel.model_validate(
        {
            "environment": environment,
            "settings": defaults | settings,
            "services": services,
        }
    )


def environment(
    services: dict[str, dict], revision: int = 1, **settings: object
) -> documents.Environment:
    model = document(services, **settings)
    return document_models.from_parts(
        model.environment, revision, document_models.to_parts(model)
    )


def plain_service(
    name: str = "till", upstreams: int = 3, slots: int = 2, **changes: object
) -> documents.Service:
    ports = list(range(9000, 9000 + upstreams))
    built = environment({name: service(name, ports, slots, **changes)})
    return built.services[name]
