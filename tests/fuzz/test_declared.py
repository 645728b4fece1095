from __future__ import annotations

import hashlib
from types import SimpleNamespace
from typing import Any

import msgspec
from hypothesis import example, given
from hypothesis import strategies as st

from crowrudder_core.transfer import Manifest, ManifestError, decode_manifest
from crowrudder_daemon.fetch import Answer
from crowrudder_daemon.knowledge._platform import (
    BundleRead,
    PlatformClient,
    ReadFailed,
    Source,
)
from crowrudder_daemon.settings import SettingsError, parse_settings
from crowrudder_model import Member, MembersError, decode_members
from crowrudder_model.declared import (
    BundleError,
    Customer,
    Declaration,
    Model,
    Service,
    bundle_of,
    decode_bundle,
    encode_bundle,
)
from support.mutations import DEEP, LONG_NUMBER, bad_bytes, odd_json

DECLARATION = Declaration(
    generation=3,
    services=(Service('portal', kind='plain'),),
    models=(Model('listing'),),
    customers=(Customer('school', share=0.5, services=('portal',)),),
)
BUNDLE = encode_bundle(DECLARATION)
MEMBERS = msgspec.json.encode(
    {'revision': 7, 'members': [Member('a', 'agent', '127.0.0.1', rpc_port=9)]}
)
MANIFEST = msgspec.json.encode(
    Manifest(version='v', chunk_bytes=4, size=7, digest='d', chunks=('a', 'b'))
)
SETTINGS = """[process]
role = entry
host = entry-1
address = 127.0.0.1
rpc_port = 1
admin_port = 2
http_port = 3
region = r
failure_domain = d
[platform]
address = 127.0.0.1:4
"""


def with_odd(encoded: bytes, odd: Any, place: int) -> Any:
    """Return a decoded value with one node, by depth-first index, replaced."""
    left = [place]

    def walk(node: Any) -> Any:
        left[0] -= 1
        if left[0] < 0:
            left[0] = 1 << 30
            return odd
        match node:
            case dict():
                return {key: walk(inner) for key, inner in node.items()}
            case list():
                return [walk(inner) for inner in node]
            case _:
                return node

    return walk(msgspec.json.decode(encoded))


places = st.integers(0, 60)


class TestBundle:
    @given(bad_bytes(BUNDLE))
    @example(b'{"a":' + b'[' * DEEP)
    @example(b'{"declaration":{"generation":' + LONG_NUMBER + b'}}')
    def test_refused_or_whole(self, encoded: bytes) -> None:
        try:
            bundle = decode_bundle(encoded)
        except BundleError as exc:
            assert str(exc)
            return
        assert bundle == bundle_of(bundle.declaration)

    @given(odd_json, places)
    def test_odd_value_with_its_own_digest(self, odd: Any, place: int) -> None:
        content = with_odd(BUNDLE, odd, place)
        try:
            declaration = msgspec.convert(content['declaration'], Declaration)
            # What a publisher who skips the check would publish.
            encoded = msgspec.json.encode(bundle_of(declaration))
        except (msgspec.MsgspecError, LookupError, TypeError):
            encoded = msgspec.json.encode(content)
        try:
            bundle = decode_bundle(encoded)
        except BundleError:
            return
        assert encode_bundle(bundle.declaration)


class TestMembers:
    @given(bad_bytes(MEMBERS))
    @example(b'{"revision":' + LONG_NUMBER + b',"members":[]}')
    @example(b'{"a":' + b'[' * DEEP)
    def test_refused_or_read(self, encoded: bytes) -> None:
        try:
            revision, members = decode_members(encoded)
        except MembersError as exc:
            assert str(exc)
            return
        assert isinstance(revision, int)
        assert len({member.host for member in members}) == len(members)

    @given(odd_json, places)
    def test_odd_value(self, odd: Any, place: int) -> None:
        encoded = msgspec.json.encode(with_odd(MEMBERS, odd, place))
        try:
            _, members = decode_members(encoded)
        except MembersError:
            return
        assert all(member.rpc_address for member in members)


class TestManifest:
    """Guard against an unhandled `RecursionError` in place of `ManifestError`.

    The decoder raises it if the files declare the digest of bytes that nest
    5,000 lists.
    """

    @given(bad_bytes(MANIFEST))
    @example(b'{"a":' + b'[' * DEEP)
    @example(b'{"size":' + LONG_NUMBER + b'}')
    def test_refused_or_read(self, encoded: bytes) -> None:
        digest = hashlib.sha256(encoded).hexdigest()
        try:
            manifest = decode_manifest(encoded, declared=digest, peer='origin')
        except ManifestError as exc:
            assert 'origin' in str(exc)
            return
        assert sum(manifest.sizes().values()) <= manifest.size


class TestSettings:
    @given(bad_bytes(SETTINGS.encode()))
    @example(SETTINGS.replace('3', LONG_NUMBER.decode()).encode())
    @example(b'[process]\n[process]')
    @example(b'[process]\n\trole\n = 1')
    def test_refused_or_read(self, encoded: bytes) -> None:
        try:
            cfg = parse_settings(encoded.decode(errors='surrogateescape'))
        except SettingsError as exc:
            assert exc.faults
            return
        assert cfg.process.role in {'entry', 'agent'}


class TestPlatform:
    """Guard against an unhandled error in the loop that reads the platform.

    If the platform answers with an `X-Revision` of 5,000 digits, Python raises
    `ValueError`, as it doesn't parse numbers of that length.
    """

    @given(st.text(max_size=9) | st.integers().map(str))
    @example(LONG_NUMBER.decode())
    @example('٣')
    def test_revision(self, text: str) -> None:
        runtime: Any = SimpleNamespace(
            cfg=parse_settings(SETTINGS),
            metrics=SimpleNamespace(counter=lambda *_names, **_more: None),
        )
        client = PlatformClient(runtime)
        answer = Answer(200, (('X-Revision', text),), BUNDLE)
        word = client._parse_answer(Source.BUNDLE, answer)
        if isinstance(word, ReadFailed):
            assert 'X-Revision' in word.reason
        else:
            assert isinstance(word, BundleRead)
            assert word.revision == int(text)
