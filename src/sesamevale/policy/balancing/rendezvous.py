"""Weighted rendezvous hashing."""

from __future__ import annotations

import math

import xxhash

__all__ = ["score"]

HASH_VALUE_COUNT = float(1 << 64)


def score(key: str, node: str, weight: float = 1.0) -> float:
    """Returns the score of a node for a key.

    A key is placed on the node with the highest score. Each node gets a share
    of the keys in proportion to its weight, and when a node is removed, only
    its own keys move.

    Args:
        key: Key to place.
        node: Name of the candidate.
        weight: Positive weight of the candidate.
    """
    digest = xxhash.xxh64_intdigest(f"{key}\x00{node}".encode())
    uniform = (digest + 0.5) / HASH_VALUE_COUNT
    return -weight / math.log(uniform)
