"""Builders of suspicions against requests."""

from __future__ import annotations

from sesamevale.policy.admission import suspects

KIND = 5


def death(request: int, upstream: int, at: float = 100.0) -> suspects.Suspicion:
    """Returns that an upstream ended while a request was running there."""
    return suspects.Suspicion(request, KIND, upstream, at)


def answer(request: int, at: float = 100.0) -> suspects.Suspicion:
    """Returns that a request has been answered."""
    return suspects.Suspicion(request, KIND, suspects.CLEARED, at)
