"""What an entry loads before it can serve.

All entries may lose power at the same time; callers are refused until the
first one has started again.
"""

from __future__ import annotations

import subprocess
import sys

import pytest

DAEMON = "sesamevale.platform.daemon"
# Libraries for pages and exports that no request needs.
DEFERRED = ("opentelemetry", "prometheus_client")


def modules_loaded_by(module: str) -> set[str]:
    code = f"import sys, {module}; print(*sys.modules)"
    done = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
        timeout=60,
    )
    return set(done.stdout.split())


@pytest.mark.parametrize("library", DEFERRED)
def test_the_daemon_does_not_load_a_library_before_it_is_used(library):
    """Their import took a fifth of the start."""
    assert library not in modules_loaded_by(DAEMON)
