"""Status of a gateway entry, and the command that shows it."""

from __future__ import annotations

import asyncio
import json
import time

import typer.testing

from sesamevale.operators import command_line
from sesamevale.operators import gateway_pages
from sesamevale.operators.commands import common
from sesamevale.policy.configuration import active_configuration
from sesamevale.policy.membership import evacuations
from sesamevale.policy.signals import discovered_upstreams
from sesamevale.policy.signals import upstream_signals
from tests.builders import gateway
from tests.standins import gateway_entry
from tests.standins import scripted_upstream

SIGNALS = {
    "u-1": upstream_signals.RateLimit(1.5),
    "u-2": upstream_signals.Pause(30.0),
    "u-3": upstream_signals.Leaving(),
    "u-4": upstream_signals.Warming(2.5),
}


async def read_status():
    """Returns the status and the gauges of an entry whose upstreams signal."""
    upstreams = [scripted_upstream.ScriptedUpstream(name) for name in SIGNALS]
    async with gateway_entry.GatewayEntry(*upstreams) as entry:
        await asyncio.sleep(0.05)
        evacuated = evacuations.Evacuations()
        evacuated.record_read({"there"}, time.monotonic() - 3.0)
        pages = gateway_pages.GatewayPages(
            "e-1",
            entry.router,
            active_configuration.ActiveConfiguration(),
            discovered_upstreams.DiscoveredUpstreams(),
            evacuated,
            entry.events,
            entry.recorder,
        )
        warmups = entry.task.balancer.warmups
        warmups.set_rate(2.0, time.monotonic())
        for each in upstreams:
            record = gateway.upstream(each.upstream_id, port=each.port)
            entry.task.balancer.signals.record_answer(
                upstream_signals.instance_of(record),
                (SIGNALS[each.upstream_id],),
                time.monotonic(),
            )
            warmups.record_answer(
                upstream_signals.instance_of(record),
                (SIGNALS[each.upstream_id],),
                time.monotonic(),
                is_sample=True,
            )
        content = json.loads(pages.handlers["/status"]("").body)
        gauges = {
            each.labels["signal"]: each.value
            for each in entry.recorder.samples
            if each.name == "sesamevale_upstream_signals"
        }
        return content, gauges


def test_evacuations_in_force_are_in_the_status():
    content, _ = asyncio.run(read_status())
    assert 3.0 <= content["evacuated"]["there"] < 4.0


def test_signals_in_force_are_in_the_status_and_the_gauges():
    content, gauges = asyncio.run(read_status())
    found = {
        each["upstream_id"]: each
        for each in content["services"]["sheet"]["signals"]
    }
    assert found["u-1"]["signal"] == "limit"
    assert found["u-1"]["value"] == 1.5
    assert 0 < found["u-1"]["share"] <= 1.5
    assert found["u-1"]["used"] == 0.0
    assert 29 < found["u-2"]["value"] <= 30
    assert found["u-3"]["signal"] == "leaving"
    assert found["u-4"]["signal"] == "warmup"
    assert 2 < found["u-4"]["value"] <= 2.5
    assert 0 < found["u-4"]["share"] <= 2.0
    assert gauges == {"limit": 1, "pause": 1, "leaving": 1, "warmup": 1}


def test_the_command_shows_the_signals(monkeypatch):
    content, _ = asyncio.run(read_status())
    content["members"] = ["e-1"]
    monkeypatch.setattr(common, "read_status", lambda admin: content)
    runner = typer.testing.CliRunner()
    result = runner.invoke(
        command_line.app, ["gateway", "--admin", "127.0.0.1:1"]
    )
    assert result.exit_code == 0, result.output
    assert "u-1: limit 1.5 a second for" in result.output
    assert "share here 0.6, 0% used" in result.output
    assert "u-2: pause for" in result.output
    assert "u-3: leaving for" in result.output
    assert "u-4: warmup for" in result.output
    assert "s left, share here 0.8 a second" in result.output
    assert "there is evacuated for 3" in result.output


def test_the_command_adds_up_the_use_of_quotas(monkeypatch):
    use = {"admitted": 3, "refused": 1, "window_s": 5.0}
    use |= {"rate_per_s": 2.4, "burst": 2.4, "holders": 6, "left": 0.5}
    content = {"1:1": {"acme": use}, "1:2": {"acme": use, "bolt": use}}
    monkeypatch.setattr(
        common, "read_status", lambda admin: {"tenants": content[admin]}
    )
    runner = typer.testing.CliRunner()
    arguments = ["tenants", "--admin", "1:1", "--admin", "1:2"]
    result = runner.invoke(command_line.app, arguments)
    assert result.exit_code == 0, result.output
    assert result.output.splitlines() == [
        "acme: 6 admitted and 2 refused in 5 s at 2 entries; "
        "quota 2.4 a second and 2.4 at once",
        "bolt: 3 admitted and 1 refused in 5 s at 1 entries; "
        "quota 2.4 a second and 2.4 at once",
    ]
