"""Hypothesis strategies for bad input: noise, mutated input, unusual JSON."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import strategies as st

if TYPE_CHECKING:
    from hypothesis.strategies import SearchStrategy

MAX_EDITS = 4
# Deeper than Python's recursion limit.
DEEP = 5000
# Python refuses to parse a decimal number of more than 4300 digits.
LONG_NUMBER = b'9' * 5000

odd_numbers = st.one_of(
    st.integers(),
    st.integers(min_value=1 << 62, max_value=1 << 70),
    st.floats(allow_nan=False, allow_infinity=False),
)
odd_json = st.recursive(
    st.none() | st.booleans() | odd_numbers | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=6), inner, max_size=3)
    ),
    max_leaves=6,
)


def damaged(valid: bytes) -> SearchStrategy[bytes]:
    """Return valid input with bytes replaced, inserted, truncated or repeated."""
    edit = st.tuples(
        st.sampled_from(('replace', 'insert', 'cut', 'double')),
        st.integers(0, len(valid)),
        st.binary(min_size=1, max_size=3),
    )
    edits = st.lists(edit, min_size=1, max_size=MAX_EDITS)
    return edits.map(lambda chosen: _edited(valid, chosen))


def bad_bytes(valid: bytes) -> SearchStrategy[bytes]:
    """Return random bytes or mutated valid input."""
    return st.one_of(damaged(valid), st.binary(max_size=60))


def _edited(valid: bytes, edits: list[tuple[str, int, bytes]]) -> bytes:
    edited = valid
    for kind, position, noise in edits:
        before, after = edited[:position], edited[position:]
        match kind:
            case 'replace':
                edited = before + noise + after[len(noise) :]
            case 'insert':
                edited = before + noise + after
            case 'cut':
                edited = before
            case _:
                edited = before + after[:20] + after
    return edited
