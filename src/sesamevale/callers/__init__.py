"""HTTP servers for callers, and the entry directory that callers fetch."""

from __future__ import annotations
