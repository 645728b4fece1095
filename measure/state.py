"""Memory that a process keeps for each request, and sizes of messages."""

from __future__ import annotations

import tracemalloc
from typing import TYPE_CHECKING

from crowrudder_core.requests import AgentLedger, ClaimRegistry, RequestOwner
from crowrudder_model import encode_message
from crowrudder_model.messages import (
    Attempt,
    AttemptKey,
    ClaimRequest,
    Piece,
    Report,
    RunServerMessage,
)

if TYPE_CHECKING:
    from collections.abc import Callable

FEW = 2_000
MANY = 10_000


def _key(number: int) -> AttemptKey:
    return AttemptKey(request_id=f'{number:032x}', attempt=1, entry='f' * 16)


def _attempt(number: int) -> Attempt:
    return Attempt(
        key=_key(number),
        customer='breeder-portal',
        service='listing',
        priority=5,
        budget_s=30.0,
        idempotent=False,
    )


def _claim_request(number: int) -> ClaimRequest:
    return ClaimRequest(
        request_id=f'{number:032x}',
        owner='f' * 16,
        serial=number,
        keep_s=630.0,
    )


def _claims(count: int) -> object:
    registry = ClaimRegistry()
    for number in range(count):
        registry.claim(_claim_request(number), now=0.0)
    return registry


def _records(count: int) -> object:
    ledger = AgentLedger()
    for number in range(count):
        ledger.receive(_attempt(number), now=0.0)
    return ledger


def _owners(count: int) -> object:
    owners = [
        RequestOwner(f'{number:032x}', entry='e', idempotent=False, deadline=1)
        for number in range(count)
    ]
    for owner in owners:
        owner.open_attempt()
    return owners


def _pieces(count: int) -> object:
    return [
        RunServerMessage(
            piece=Piece(
                request_id=f'{number:032x}',
                version='listing-v1',
                index=number,
                text=f'listing-v1:{number}:abcdef01 ',
            ),
        )
        for number in range(count)
    ]


def _bytes_per_item(make: Callable[[int], object]) -> float:
    """Return the bytes per item.

    The slope between two counts excludes the constant part.
    """
    return (_allocated_bytes(make, MANY) - _allocated_bytes(make, FEW)) / (
        MANY - FEW
    )


def _allocated_bytes(make: Callable[[int], object], count: int) -> int:
    tracemalloc.start()
    kept = make(count)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size


def run(show: Callable[[str, float | str], None]) -> None:
    """Print the bytes of each kept request and of each message."""
    show('state.claim_bytes', _bytes_per_item(_claims))
    show('state.ledger_record_bytes', _bytes_per_item(_records))
    show('state.owner_bytes', _bytes_per_item(_owners))
    show('state.piece_bytes', _bytes_per_item(_pieces))
    report = Report(
        host='engine-1234',
        incarnation='f' * 16,
        service='listing',
        version='listing-v1',
        adapters=('formal',),
        running=5,
        queued=3,
        slots=8,
        service_s=1.25,
        leaving=False,
        generation=1234,
        digest='f' * 64,
    )
    show('state.report_message_bytes', len(encode_message(report)))
    show('state.claim_message_bytes', len(encode_message(_claim_request(1))))
