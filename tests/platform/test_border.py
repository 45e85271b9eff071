"""Names of the users' platform are used only inside its adapter."""

from __future__ import annotations

import pathlib
import re

SOURCES = pathlib.Path(__file__).resolve().parents[2] / "src" / "sesamevale"
WIRE_NAMES = re.compile(
    r"x-attempt-id|x-deadline-ms|x-response-signature|x-expected-instance"
    r"|x-not-executed|x-server-load|x-instance-id|server-limit|server-leaving|/api/|kv-|op/config"
    r"|servers/|trafficSplit|virtualHosts|targetLatencyMs|healthPath"
    r"|warmupLeftMs|seqNo|\bttlS\b|maxAttempts|nodeName|SESAMEVALE_NODE_FILE",
    re.IGNORECASE,
)


def test_no_name_of_the_platform_is_used_outside_its_folder():
    found = [
        f"{path.relative_to(SOURCES)}: {matched[0]}"
        for path in sorted(SOURCES.rglob("*.py"))
        if "platform" not in path.relative_to(SOURCES).parts
        for matched in [WIRE_NAMES.search(path.read_text(encoding="utf-8"))]
        if matched
    ]
    assert not found


def test_nothing_outside_depends_on_the_adapter():
    found = [
        str(path.relative_to(SOURCES))
        for path in sorted(SOURCES.rglob("*.py"))
        if "platform" not in path.relative_to(SOURCES).parts
        and "sesamevale.platform" in path.read_text(encoding="utf-8")
    ]
    assert not found
