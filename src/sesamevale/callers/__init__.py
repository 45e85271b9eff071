"""Peer: callers, served by HTTP servers and the entry directory."""

from __future__ import annotations
