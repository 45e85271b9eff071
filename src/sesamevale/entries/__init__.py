"""Communication with other entries: gossip, relays, documents and state."""

from __future__ import annotations
