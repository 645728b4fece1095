from __future__ import annotations

import zlib

from hypothesis import example, given

from crowrudder_core.catalog import MAX_RECORD_BYTES, inflate_record
from crowrudder_model import MalformedMessageError
from crowrudder_model.messages import PublishedItem
from support.mutations import bad_bytes

BODY = zlib.compress(b'{"name":"a","prefix":"/a/"}' * 100)


class TestDeflatedRecords:
    @given(bad_bytes(BODY))
    @example(BODY)
    @example(zlib.compress(bytes(MAX_RECORD_BYTES + 1)))
    def test_refused_or_of_the_platforms_size(self, body: bytes) -> None:
        sent = PublishedItem(
            key='k', revision=1, payload=body, is_deflated=True
        )
        try:
            read = inflate_record(sent)
        except MalformedMessageError as exc:
            assert exc.peer == 'k'
            return
        assert read.payload is not None
        assert len(read.payload) <= MAX_RECORD_BYTES
        assert not read.is_deflated
