"""Tenants and quotas of the daemon as a process."""

from __future__ import annotations

import asyncio
import json

from tests.builders import store_items
from tests.system import entry_process

QUOTA = {"quota_window_s": 5, "quota_overage": 0.1, "quota_tolerance": 5}
TENANTS = [
    {"name": "acme", "apiKeys": ["key-a"], "ratePerS": 2, "burst": 2},
    {"name": "bolt", "apiKeys": ["key-b"]},
]


def configuration(version, tenants):
    content = store_items.config(version, entry_process.ROUTES)
    return content | {"tenants": tenants}


async def call(entry, key):
    fields = [("Authorization", f"Bearer {key}")]
    status, headers, _ = await entry.call("/read/1", headers=fields)
    return status, headers


def test_a_tenant_is_served_up_to_its_quota_and_others_beyond(tmp_path):
    async def scenario():
        entry = entry_process.Entry(
            tmp_path, config=configuration("r1", TENANTS), **QUOTA
        )
        async with entry:
            await entry.wait_readiness()
            # A new entry gives out no room before others know of it.
            while (await call(entry, "key-a"))[0] == 503:
                await asyncio.sleep(0.1)
            statuses = [200]
            for _ in range(30):
                status, headers = await call(entry, "key-a")
                statuses.append(status)
                assert status == 200 or float(headers["retry-after"]) > 0.0
            assert set(statuses) == {200, 429}
            assert statuses.count(200) <= (2 * 5 + 2) * 1.1 + 5
            for _ in range(30):
                assert (await call(entry, "key-b"))[0] == 200
            assert (await call(entry, "key-c"))[0] == 401
            _, _, page = await entry.get(entry.ports[4], "/status")
            use = json.loads(page)["tenants"]["acme"]
            assert use["admitted"] == statuses.count(200)
            assert use["refused"] >= statuses.count(429)
            _, _, page = await entry.get(entry.ports[4], "/metrics")
            assert b"key-" not in page
            assert b'sesamevale_tenant_requests{tenant="acme"' in page
            assert "key-" not in str(await entry.stop())

    entry_process.run(scenario())
