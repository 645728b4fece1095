from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
DOCS = ROOT / 'docs'
PAGES = sorted([*DOCS.rglob('*.md'), ROOT / 'README.md'])
PROOF = re.compile(r'`(\w+/test_\w+\.py)::(\w+)`')
LINK = re.compile(r'\]\(([^)#]+)(?:#[^)]*)?\)')


def links_of(page):
    return [
        link
        for link in LINK.findall(page.read_text())
        if not link.startswith(('http:', 'https:'))
    ]


class TestProofs:
    def test_every_named_test_exists(self):
        named = PROOF.findall((DOCS / 'PROOFS.md').read_text())
        assert named
        absent = [
            f'{file}::{name}'
            for file, name in named
            if f'class {name}' not in _text_of(ROOT / 'tests' / file)
            and f'{name} =' not in _text_of(ROOT / 'tests' / file)
        ]
        assert not absent


class TestPages:
    @pytest.mark.parametrize('page', PAGES, ids=lambda page: page.name)
    def test_links_lead_somewhere(self, page):
        dead = [
            link for link in links_of(page) if not (page.parent / link).exists()
        ]
        assert not dead

    def test_every_page_is_reached_from_the_index(self):
        reached = _reached_from(DOCS / 'index.md', frozenset())
        unreached = [str(page) for page in PAGES if page not in reached]
        assert not unreached


def _reached_from(page, before):
    reached = {*before, page}
    for link in links_of(page):
        target = (page.parent / link).resolve()
        if target.suffix == '.md' and target not in reached:
            reached = _reached_from(target, reached)
    return reached


def _text_of(path):
    return path.read_text() if path.exists() else ''
