"""Peer: a key-value service that speaks the JSON mapping of etcd."""

from __future__ import annotations
