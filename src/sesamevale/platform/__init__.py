"""Adapter between the users' platform and the gateway."""

from __future__ import annotations
