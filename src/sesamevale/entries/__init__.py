"""Everything that talks to other entries: gossip, relays and documents."""

from __future__ import annotations
