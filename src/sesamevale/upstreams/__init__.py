"""Everything that talks to upstreams: connections and probes."""

from __future__ import annotations
