from __future__ import annotations

import random
import tracemalloc
import zlib

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from crowrudder_core.catalog import (
    MAX_RECORD_BYTES,
    MIN_DEFLATED_BYTES,
    Catalog,
    deflate_record,
    inflate_record,
)
from crowrudder_model import (
    MalformedMessageError,
    StorePosition,
    decode_message,
    encode_message,
)
from crowrudder_model.messages import PublishedItem

LARGE = b'{"name":"a","prefix":"/a/"}' * 100


def item(payload=LARGE, **fields):
    return PublishedItem(key='k', revision=7, payload=payload, **fields)


def deflated_item(body):
    return item(body, is_deflated=True)


class TestForms:
    @given(
        piece=st.binary(max_size=40),
        times=st.integers(0, 300),
        age_s=st.floats(-1, 1e6),
    )
    def test_a_record_survives_a_round_trip(self, piece, times, age_s):
        published = item(piece * times, age_s=age_s)
        sent = decode_message(
            encode_message(deflate_record(published)), PublishedItem
        )
        assert inflate_record(sent) == published

    def test_only_the_payload_of_a_large_record_changes(self):
        sent = deflate_record(item(age_s=3))
        assert len(sent.payload or LARGE) < len(LARGE) / 10
        assert sent == item(sent.payload, age_s=3, is_deflated=True)

    @pytest.mark.parametrize(
        'payload',
        [
            None,
            b'',
            LARGE[: MIN_DEFLATED_BYTES - 1],
            random.Random(1).randbytes(4 * MIN_DEFLATED_BYTES),
            b'a' * (MAX_RECORD_BYTES + 1),
        ],
        ids=['removal', 'empty', 'small', 'of bytes', 'too large'],
    )
    def test_other_records_are_sent_unchanged(self, payload):
        assert deflate_record(item(payload)) == item(payload)
        assert inflate_record(item(payload)) == item(payload)

    def test_a_deflated_record_is_not_deflated_again(self):
        dense = zlib.compress(LARGE * 3000, 1)
        sent = deflated_item(dense)
        assert len(dense) > MIN_DEFLATED_BYTES
        assert deflate_record(sent) is sent

    @pytest.mark.parametrize('piece', [b'a', LARGE])
    def test_the_largest_record_survives_a_round_trip(self, piece):
        times = MAX_RECORD_BYTES // len(piece) + 1
        published = item((piece * times)[:MAX_RECORD_BYTES])
        sent = deflate_record(published)
        assert sent.is_deflated
        assert inflate_record(sent) == published


class TestRefused:
    @pytest.mark.parametrize(
        'body',
        [
            b'',
            LARGE,
            zlib.compress(LARGE)[:-1],
            zlib.compress(LARGE) + b'x',
            zlib.compress(LARGE)[:-1] + b'x',
            zlib.compress(b'a' * (MAX_RECORD_BYTES + 1)),
        ],
        ids=['empty', 'plain', 'cut', 'followed', 'spoilt', 'too large'],
    )
    def test_an_inflate_error_names_the_record(self, body):
        with pytest.raises(MalformedMessageError) as caught:
            inflate_record(deflated_item(body))
        assert caught.value.peer == 'k'

    def test_inflating_a_bomb_uses_bounded_memory(self):
        """A record of 64 KB that inflates to 64 MiB would kill a process."""
        bomb = deflated_item(zlib.compress(bytes(64 * MAX_RECORD_BYTES)))
        tracemalloc.start()
        try:
            with pytest.raises(MalformedMessageError):
                inflate_record(bomb)
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert peak_bytes < 4 * MAX_RECORD_BYTES


class TestOneRecord:
    @pytest.mark.parametrize('first', [item(), deflate_record(item())])
    @pytest.mark.parametrize('then', [item(), deflate_record(item())])
    def test_plain_and_deflated_forms_are_the_same_record(self, first, then):
        """A record comes plain from the platform and deflated from a peer."""
        catalog = Catalog()
        assert catalog.apply([first], through=StorePosition(0, 7), now=0)
        assert not catalog.replace([then], through=StorePosition(0, 7), now=1)
        assert catalog.items() == [first]

    @pytest.mark.parametrize(
        'then', [item(age_s=2), deflate_record(item(age_s=2))]
    )
    def test_the_age_is_applied_from_either_form(self, then):
        catalog = Catalog()
        catalog.apply([item()], through=StorePosition(0, 7), now=0)
        assert catalog.apply([then], through=StorePosition(0, 7), now=10)
        assert catalog.age_s('k', now=10) == 2

    def test_a_deflated_record_is_forwarded_unchanged(self):
        catalog = Catalog()
        sent = deflate_record(item(age_s=0))
        catalog.apply([sent], through=StorePosition(0, 7), now=10)
        reply = catalog.changes_after(
            StorePosition(0, 1), now=13, confirmed_s=0
        )
        assert reply.items == (evolve(sent, age_s=3),)
