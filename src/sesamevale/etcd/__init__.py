"""Client of a key-value service that implements the etcd v3 JSON mapping."""

from __future__ import annotations
