from __future__ import annotations

import random
import tracemalloc
import zlib

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from crowrudder_core.catalog import (
    MOST_RECORD_BYTES,
    SMALLEST_DEFLATED_BYTES,
    Catalog,
    deflated,
    inflated,
)
from crowrudder_model import (
    MalformedMessageError,
    decode_message,
    encode_message,
)
from crowrudder_model.messages import PublishedItem

LARGE = b'{"name":"a","prefix":"/a/"}' * 100


def item(payload=LARGE, **more):
    return PublishedItem(key='k', revision=7, payload=payload, **more)


def packed(body):
    return item(body, is_deflated=True)


class TestForms:
    @given(
        piece=st.binary(max_size=40),
        times=st.integers(0, 300),
        age_s=st.floats(-1, 1e6),
    )
    def test_a_record_comes_back_as_it_was(self, piece, times, age_s):
        published = item(piece * times, age_s=age_s)
        sent = decode_message(
            encode_message(deflated(published)), PublishedItem
        )
        assert inflated(sent) == published

    def test_a_large_one_gets_small_and_is_else_the_same(self):
        sent = deflated(item(age_s=3))
        assert len(sent.payload or LARGE) < len(LARGE) / 10
        assert sent == item(sent.payload, age_s=3, is_deflated=True)

    @pytest.mark.parametrize(
        'payload',
        [
            None,
            b'',
            LARGE[: SMALLEST_DEFLATED_BYTES - 1],
            random.Random(1).randbytes(4 * SMALLEST_DEFLATED_BYTES),
            b'a' * (MOST_RECORD_BYTES + 1),
        ],
        ids=['removal', 'empty', 'small', 'of bytes', 'too large'],
    )
    def test_others_are_sent_as_published(self, payload):
        assert deflated(item(payload)) == item(payload)
        assert inflated(item(payload)) == item(payload)

    def test_nobody_deflates_it_a_second_time(self):
        dense = zlib.compress(LARGE * 3000, 1)
        sent = packed(dense)
        assert len(dense) > SMALLEST_DEFLATED_BYTES
        assert deflated(sent) is sent

    @pytest.mark.parametrize('piece', [b'a', LARGE])
    def test_the_largest_of_the_platform_comes_back(self, piece):
        times = MOST_RECORD_BYTES // len(piece) + 1
        published = item((piece * times)[:MOST_RECORD_BYTES])
        sent = deflated(published)
        assert sent.is_deflated
        assert inflated(sent) == published


class TestRefused:
    @pytest.mark.parametrize(
        'body',
        [
            b'',
            LARGE,
            zlib.compress(LARGE)[:-1],
            zlib.compress(LARGE) + b'x',
            zlib.compress(LARGE)[:-1] + b'x',
            zlib.compress(b'a' * (MOST_RECORD_BYTES + 1)),
        ],
        ids=['empty', 'plain', 'cut', 'followed', 'spoilt', 'too large'],
    )
    def test_what_cant_be_inflated_names_its_key(self, body):
        with pytest.raises(MalformedMessageError) as caught:
            inflated(packed(body))
        assert caught.value.peer == 'k'

    def test_a_small_one_takes_no_more_memory_than_the_largest(self):
        """A record of 64 KB that is 64 MiB would end a process."""
        bomb = packed(zlib.compress(bytes(64 * MOST_RECORD_BYTES)))
        tracemalloc.start()
        try:
            with pytest.raises(MalformedMessageError):
                inflated(bomb)
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert peak_bytes < 4 * MOST_RECORD_BYTES


class TestOneRecord:
    @pytest.mark.parametrize('first', [item(), deflated(item())])
    @pytest.mark.parametrize('then', [item(), deflated(item())])
    def test_both_forms_are_the_same_record(self, first, then):
        """From the platform as published, from a peer deflated."""
        catalog = Catalog()
        assert catalog.apply([first], through=7, now=0)
        assert not catalog.replace([then], through=7, now=1)
        assert catalog.items() == [first]

    @pytest.mark.parametrize('then', [item(age_s=2), deflated(item(age_s=2))])
    def test_the_age_is_taken_from_either(self, then):
        catalog = Catalog()
        catalog.apply([item()], through=7, now=0)
        assert catalog.apply([then], through=7, now=10)
        assert catalog.age_s('k', now=10) == 2

    def test_a_form_passes_on_as_it_came(self):
        catalog = Catalog()
        sent = deflated(item(age_s=0))
        catalog.apply([sent], through=7, now=10)
        reply = catalog.changes_after(1, now=13, confirmed_s=0)
        assert reply.items == (evolve(sent, age_s=3),)
