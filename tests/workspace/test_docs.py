from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
DOCS = ROOT / 'docs'
PAGES = sorted([*DOCS.rglob('*.md'), ROOT / 'README.md'])
TEST_REFERENCE = re.compile(r'`(\w+/test_\w+\.py)::(\w+)`')
LINK = re.compile(r'\]\(([^)#]+)(?:#[^)]*)?\)')


def links_in(page):
    return [
        link
        for link in LINK.findall(page.read_text())
        if not link.startswith(('http:', 'https:'))
    ]


class TestProofs:
    def test_every_named_test_exists(self):
        referenced = TEST_REFERENCE.findall((DOCS / 'PROOFS.md').read_text())
        assert referenced
        missing = [
            f'{file}::{name}'
            for file, name in referenced
            if f'class {name}' not in _text_of(ROOT / 'tests' / file)
            and f'{name} =' not in _text_of(ROOT / 'tests' / file)
        ]
        assert not missing


class TestPages:
    @pytest.mark.parametrize('page', PAGES, ids=lambda page: page.name)
    def test_link_targets_exist(self, page):
        broken = [
            link for link in links_in(page) if not (page.parent / link).exists()
        ]
        assert not broken

    def test_every_page_is_reachable_from_the_index(self):
        reachable = _reachable_from(DOCS / 'index.md', frozenset())
        unreachable = [str(page) for page in PAGES if page not in reachable]
        assert not unreachable


def _reachable_from(page, visited):
    reachable = {*visited, page}
    for link in links_in(page):
        target = (page.parent / link).resolve()
        if target.suffix == '.md' and target not in reachable:
            reachable = _reachable_from(target, reachable)
    return reachable


def _text_of(path):
    return path.read_text() if path.exists() else ''
