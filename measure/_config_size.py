"""Bytes, time and memory that bundles and member lists cost, by size."""

from __future__ import annotations

import time
import tracemalloc
import zlib
from typing import TYPE_CHECKING, Any

import msgspec
from _config_fleet import build_bundle

from crowrudder_core.config import ActiveConfig, Offer, PlatformReadPolicy
from crowrudder_core.membership import (
    MemberList,
    MembershipView,
    OwnStatus,
    neighbours_of,
)
from crowrudder_model import (
    Member,
    decode_members,
    decode_message,
    encode_message,
)
from crowrudder_model.declared import (
    BundleDelta,
    Declaration,
    Service,
    apply_delta,
    decode_bundle,
    delta_between,
    place,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    Show = Callable[[str, float | str], None]

CUSTOMERS = (100, 1000, 6000)
MEMBERS = (32, 128, 512, 2140)
ROUNDS = 5
MEGABYTE = 1_000_000
MS = 1000


def show_sizes(show: Show) -> None:
    """Print the figures of bundles and member lists of all sizes."""
    for customers in CUSTOMERS:
        _show_bundle(show, customers)
    for count in MEMBERS:
        _show_members(show, count)


def _show_bundle(show: Show, customers: int) -> None:
    value = build_bundle(1, customers=customers)
    after = decode_bundle(build_bundle(2, customers=customers))
    before = decode_bundle(value)
    delta = zlib.compress(encode_message(delta_between(before, after)))
    name = f'config.bundle.{customers}_customers'
    show(f'{name}.bytes', len(value))
    show(f'{name}.sent_whole_bytes', len(zlib.compress(value)))
    show(f'{name}.sent_change_bytes', len(delta))
    show(f'{name}.whole_ms', _shortest_ms(lambda: _accept(value)))

    def apply_change() -> None:
        bundle_delta = decode_message(zlib.decompress(delta), BundleDelta)
        _accept(apply_delta(before, bundle_delta, digest=after.digest))

    show(f'{name}.change_ms', _shortest_ms(apply_change))
    show(f'{name}.memory_mb', _memory_mb(lambda: _accept(value)))


def _accept(value: bytes) -> ActiveConfig:
    active_config = ActiveConfig(is_open=True)
    active_config.offer(Offer(payload=value, revision=1, teller=''), now=0)
    return active_config


def _show_members(show: Show, count: int) -> None:
    members = _make_members(count)
    listed = msgspec.json.encode({'revision': 1, 'members': members})
    changed = (*members[1:], _make_member(count))
    member_list = MemberList()
    member_list.on_platform(members, 1, 0)
    base = member_list.edition
    member_list.on_platform(changed, 2, 1)
    delta = zlib.compress(encode_message(member_list.delta_from(base.digest)))
    whole = zlib.compress(encode_message(member_list.whole()))
    name = f'config.members.{count}'
    show(f'{name}.platform_bytes', len(listed))
    show(f'{name}.sent_whole_bytes', len(whole))
    show(f'{name}.sent_change_bytes', len(delta))
    show(f'{name}.read_ms', _shortest_ms(lambda: decode_members(listed)))
    show(f'{name}.change_ms', _shortest_ms(lambda: _apply_member_list(changed)))
    show(f'{name}.place_ms', _shortest_ms(lambda: _place(changed)))
    show(f'{name}.memory_mb', _memory_mb(lambda: _make_view(count)))


def _apply_member_list(members: tuple[Member, ...]) -> None:
    """Process a new member list as the daemon does, except placement."""
    view = _make_empty_view()
    view.published.on_platform(members, 1, 0)
    view.on_list()
    seen = view.members()
    suspects = view.suspects()
    read_policy = PlatformReadPolicy('host-0001', 'domain-1', started_at=0)
    read_policy.on_members(seen, suspects)
    neighbours_of('host-0001', (each.host for each in seen))


def _place(members: tuple[Member, ...]) -> None:
    engines = Service('listing', model='m', version='v', replicas=650)
    place(Declaration(1, services=(engines,)), members)


def _make_view(count: int) -> MembershipView:
    view = _make_empty_view()
    view.published.on_platform(_make_members(count), 1, 0)
    return view


def _make_empty_view() -> MembershipView:
    return MembershipView(OwnStatus('host-0001', 'x', '127.0.0.1:1', 1))


def _make_members(count: int) -> tuple[Member, ...]:
    return tuple(_make_member(number) for number in range(count))


def _make_member(number: int) -> Member:
    return Member(
        f'host-{number:04}',
        'agent',
        f'10.{number % 6}.{number // 256}.{number % 256}',
        rpc_port=7101,
        admin_port=7102,
        region=f'region-{number % 2}',
        failure_domain=f'domain-{number % 6}',
        upstream='engine',
    )


def _shortest_ms(function: Callable[[], Any]) -> float:
    """Return the shortest of several runs, in milliseconds."""
    took = []
    for _ in range(ROUNDS):
        begun = time.perf_counter()
        function()
        took.append(time.perf_counter() - begun)
    return min(took) * MS


def _memory_mb(make: Callable[[], Any]) -> float:
    tracemalloc.start()
    made = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del made
    return size / MEGABYTE
