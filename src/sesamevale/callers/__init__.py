"""Everything that talks to callers: the HTTP server and the directory."""

from __future__ import annotations
