"""Wanted and unwanted versions that a host holds."""

from __future__ import annotations

import hashlib
import logging

import msgspec
import pytest

from crowrudder_core.transfer import ManifestError
from crowrudder_daemon.chunks import Artifact
from crowrudder_daemon.chunks._version_store import (
    MAX_SPARE_VERSIONS,
    VersionStore,
)
from crowrudder_daemon.process import Runtime
from crowrudder_daemon.settings import (
    PlatformSection,
    ProcessSection,
    Settings,
    WeightsSection,
)
from support.weights_versions import NEW, OLD, fill, version


def versions(memory_bytes=1000) -> VersionStore:
    process = ProcessSection(
        role='agent',
        host='a',
        address='127.0.0.1',
        rpc_port=1,
        admin_port=2,
        region='rennes',
        failure_domain='rennes-1',
    )
    weights = WeightsSection(
        origin='127.0.0.1:3',
        memory_bytes=memory_bytes,
        link_bytes_per_s=1000,
    )
    cfg = Settings(
        process=process,
        platform=PlatformSection(address='127.0.0.1:4'),
        weights=weights,
    )
    return VersionStore(Runtime(cfg, logging.getLogger('test')), weights)


def put(subject, name, payloads):
    payload = msgspec.json.encode(version(name, payloads))
    artifact = Artifact(name, hashlib.sha256(payload).hexdigest())
    return subject.open(payload, artifact, copies=1)


class TestShelf:
    def test_wanted_versions_are_never_dropped(self):
        """Guard against dropping a wanted version in a service with adapters.

        The adapters are opened after their version, which was then treated as
        the oldest spare one and dropped for good while it was being fetched.
        """
        subject = versions()
        names = [
            f'adapter-{number}' for number in range(MAX_SPARE_VERSIONS + 4)
        ]
        subject.drop_others(frozenset(('old', *names)))
        base = put(subject, 'old', OLD)
        for name in names:
            put(subject, name, [name.encode()[:4]])
        assert not base.dropped
        assert base.is_sound

    def test_spare_versions_are_bounded(self):
        subject = versions()
        for number in range(MAX_SPARE_VERSIONS + 4):
            name = f'v{number}'
            subject.drop_others(frozenset((name,)))
            fill(put(subject, name, NEW), NEW)
        assert len(subject.transfers) <= MAX_SPARE_VERSIONS + 1

    def test_manifest_of_another_name_is_refused(self):
        subject = versions()
        payload = msgspec.json.encode(version('old', OLD))
        wrong = Artifact('new', hashlib.sha256(payload).hexdigest())
        with pytest.raises(ManifestError, match='not new'):
            subject.open(payload, wrong, copies=1)
