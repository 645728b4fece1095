"""Digests of requests for the same work."""

from __future__ import annotations

from typing import Any

import pytest

from crowrudder_core.quarantine import digest_text, request_digest

REQUEST: dict[str, Any] = {
    'method': 'POST',
    'host': 'shop.example',
    'target': '/draft/a?b=1',
    'customer': 'shop',
    'body': b'body',
}


class TestDigest:
    def test_is_the_same_in_every_process(self):
        assert digest_text(request_digest(**REQUEST)) == '6a51bdd7299920bb'

    @pytest.mark.parametrize('part', sorted(REQUEST))
    def test_differs_with_each_part(self, part):
        other = {**REQUEST, part: REQUEST[part] * 2}
        assert request_digest(**other) != request_digest(**REQUEST)

    def test_boundaries_between_parts_matter(self):
        moved = {**REQUEST, 'target': '/draft/a?b=1shop', 'customer': ''}
        assert request_digest(**moved) != request_digest(**REQUEST)

    def test_accepts_undecodable_bytes(self):
        assert request_digest(**{**REQUEST, 'target': '/\udce9'})
