"""Forwarding of requests to upstreams chosen by sampled load."""

from __future__ import annotations
