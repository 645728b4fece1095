"""Kinds of values: how a text is parsed and which values are allowed."""

from __future__ import annotations

import ipaddress
import math
import re
from collections.abc import Callable
from typing import TypeVar

from attrs import frozen

Number = TypeVar('Number', int, float)

MAX_PORT = 65535
_DIGITS = re.compile('[0-9]{1,18}')
_DECIMAL = re.compile(r'[0-9]{1,18}(\.[0-9]{1,18})?')
_NAME = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,63}')


@frozen
class Kind:
    """A parser of texts; raises `ValueError` for values not allowed."""

    parse: Callable[[str], object]
    allowed: str


def whole(low: int, high: int) -> Kind:
    """Return the kind of integers in decimal digits from `low` to `high`.

    >>> whole(1, 9).parse('7')
    7
    """

    def parse(text: str) -> int:
        # `int` alone would accept '1_0', ' 1', '+1' and digits of any script.
        if not _DIGITS.fullmatch(text):
            raise ValueError(text)
        return _between(int(text), low, high)

    return Kind(parse, f'a whole number from {low} to {high}')


def decimal(low: float, high: float) -> Kind:
    """Return the kind of decimals from `low` to `high`; no exponent or `nan`.

    >>> decimal(0, 1).parse('0.25')
    0.25
    """

    def parse(text: str) -> float:
        if not _DECIMAL.fullmatch(text):
            raise ValueError(text)
        return _between(float(text), low, high)

    return Kind(parse, f'a number from {low:g} to {high:g}')


def word(*words: str) -> Kind:
    """Return the kind of a choice among fixed words."""

    def parse(text: str) -> str:
        if text not in words:
            raise ValueError(text)
        return text

    return Kind(parse, ' or '.join(words))


def name() -> Kind:
    """Return the kind of names of hosts, regions, domains and services."""

    def parse(text: str) -> str:
        if not _NAME.fullmatch(text):
            raise ValueError(text)
        return text

    return Kind(
        parse,
        '1 to 64 characters of A-Z, a-z, 0-9, ".", "_", "-", not starting '
        'with a sign',
    )


def ip_number() -> Kind:
    """Return the kind of IP addresses; names are refused: no DNS lookups."""
    return Kind(_ip, 'an IP number, such as 127.0.0.1')


def port() -> Kind:
    """Return the kind of TCP ports."""
    return whole(1, MAX_PORT)


def endpoint(*, empty: bool = False) -> Kind:
    """Return the kind of `IP:PORT`; an IPv6 address is in brackets.

    >>> endpoint().parse('[::1]:80')
    '[::1]:80'
    """

    def parse(text: str) -> str:
        if empty and not text:
            return ''
        host, colon, number = text.rpartition(':')
        if not colon:
            raise ValueError(text)
        host, number = _host(host), str(port().parse(number))
        return f'{host}:{number}'

    suffix = ', or empty' if empty else ''
    return Kind(parse, f'IP:PORT, such as 127.0.0.1:8080{suffix}')


def _host(text: str) -> str:
    if text.startswith('[') and text.endswith(']'):
        return f'[{ipaddress.IPv6Address(_without_zone(text[1:-1]))}]'
    return str(ipaddress.IPv4Address(text))


def _ip(text: str) -> str:
    return str(ipaddress.ip_address(_without_zone(text)))


def _without_zone(text: str) -> str:
    # A zone (`fe80::1%eth0`) names a network interface of one machine only.
    if '%' in text:
        raise ValueError(text)
    return text


def _between(number: Number, low: float, high: float) -> Number:
    if not math.isfinite(number) or not low <= number <= high:
        raise ValueError(number)
    return number
