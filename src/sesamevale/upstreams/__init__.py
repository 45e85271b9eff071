"""Connections to upstreams, and health probes."""

from __future__ import annotations
