"""Which version is in force, and which route and service it names."""

from __future__ import annotations
