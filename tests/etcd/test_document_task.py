"""Repeated reads of the manifest: only one that is in force is skipped."""

from __future__ import annotations

import asyncio
import random

from sesamevale import metrics
from sesamevale.etcd import document_task
from sesamevale.etcd import store
from sesamevale.policy.configuration import document_follower
from tests.builders import etcd
from tests.builders import policy_values


async def count_reported_manifests(in_force: int, accepted: int) -> int:
    """Returns how many of two polls report the manifest of the service."""
    documents = store.DocumentStore(etcd.FaultyKeyValueClient(), "test")
    base = store.Head(None, 0)
    await documents.commit(policy_values.manifest(accepted), base)
    follower = document_follower.DocumentFollower("test")
    if in_force:
        manifest = policy_values.manifest(in_force)
        follower.manifest_seen(manifest, document_follower.Source.FILE)
        contents = dict.fromkeys(manifest.digests, b"")
        follower.parts_received(contents, document_follower.Source.FILE)
    task = document_task.DocumentTask(
        follower,
        documents,
        lambda *_: asyncio.sleep(0),
        lambda _: None,
        metrics.MetricsRecorder(),
        random.Random(1),
    )
    messages: list[object] = []
    task.send = messages.append
    await task._read_manifest()
    await task._read_manifest()
    return len(messages)


def test_a_manifest_in_force_is_read_once():
    assert asyncio.run(count_reported_manifests(in_force=5, accepted=5)) == 1


def test_an_older_manifest_is_reported_until_it_is_restored():
    assert asyncio.run(count_reported_manifests(in_force=9, accepted=5)) == 2


def test_a_manifest_that_is_not_in_force_yet_is_reported_again():
    assert asyncio.run(count_reported_manifests(in_force=0, accepted=5)) == 2
