"""Which requests count as the same work."""

from __future__ import annotations

from typing import Any

import pytest

from crowrudder_core.quarantine import digest_text, request_digest

ASKED: dict[str, Any] = {
    'method': 'POST',
    'host': 'shop.example',
    'target': '/draft/a?b=1',
    'customer': 'shop',
    'body': b'body',
}


class TestDigest:
    def test_is_the_same_in_every_process(self):
        assert digest_text(request_digest(**ASKED)) == '6a51bdd7299920bb'

    @pytest.mark.parametrize('part', sorted(ASKED))
    def test_differs_with_each_part(self, part):
        other = {**ASKED, part: ASKED[part] * 2}
        assert request_digest(**other) != request_digest(**ASKED)

    def test_parts_that_run_into_each_other_are_told_apart(self):
        moved = {**ASKED, 'target': '/draft/a?b=1shop', 'customer': ''}
        assert request_digest(**moved) != request_digest(**ASKED)

    def test_takes_bytes_that_are_no_text(self):
        assert request_digest(**{**ASKED, 'target': '/\udce9'})
