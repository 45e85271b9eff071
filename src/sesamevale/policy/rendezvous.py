"""Weighted rendezvous hashing."""

from __future__ import annotations

import math

import xxhash

__all__ = ["score"]

HASH_VALUE_COUNT = float(1 << 64)


def score(key: str, node: str, weight: float = 1.0) -> float:
    """Returns the score of a node for a key; the highest score wins.

    A node wins a share of all keys in proportion to its weight, and only the
    keys of a node that leaves move to others.

    Args:
        key: What is to be placed.
        node: Candidate.
        weight: Positive weight of the candidate.
    """
    digest = xxhash.xxh64_intdigest(f"{key}\x00{node}".encode())
    uniform = (digest + 0.5) / HASH_VALUE_COUNT
    return -weight / math.log(uniform)
