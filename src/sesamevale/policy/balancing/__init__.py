"""Which upstream a request goes to: load, health, openings, homes."""

from __future__ import annotations
