"""Settings for tests, as INI texts and as parsed values."""

from __future__ import annotations

from typing import Any

from crowrudder_daemon.settings import (
    PlatformSection,
    ProcessSection,
    Settings,
)

ENTRY = {
    'process': {
        'role': 'entry',
        'host': 'entry-1',
        'address': '127.0.0.1',
        'rpc_port': '7101',
        'admin_port': '7102',
        'http_port': '7100',
        'region': 'north',
        'failure_domain': 'north-a',
    },
    'platform': {'address': '127.0.0.1:7001'},
}
ENGINE = {
    'process': {
        'role': 'agent',
        'host': 'engine-1',
        'address': '127.0.0.1',
        'rpc_port': '7201',
        'admin_port': '7202',
        'region': 'north',
        'failure_domain': 'north-a',
    },
    'platform': {'address': '127.0.0.1:7001', 'poll_s': '0.2'},
    'upstream': {
        'kind': 'engine',
        'address': '[::1]:7300',
        'fencing': 'checked',
    },
    'weights': {
        'origin': '127.0.0.1:7002',
        'store': '',
        'memory_bytes': '1048576',
        'link_bytes_per_s': '1000000',
    },
}


def text_of(sections: dict[str, dict[str, str]]) -> str:
    """Return sections as the text of an INI file."""
    lines = []
    for section, keys in sections.items():
        lines.append(f'[{section}]')
        lines.extend(f'{key} = {text}' for key, text in keys.items())
    return '\n'.join(lines)


def changed(
    sections: dict[str, dict[str, str]],
    section: str,
    key: str,
    text: str | None,
) -> str:
    """Return an INI text with one key set, or removed if `text` is None."""
    copy = {name: dict(keys) for name, keys in sections.items()}
    copy.setdefault(section, {})
    if text is None:
        copy[section].pop(key, None)
    else:
        copy[section][key] = text
    return text_of(copy)


def entry_settings(**process: int | str) -> Settings:
    """Return settings of an entry that listens on free ports."""
    values: dict[str, Any] = {
        **ENTRY['process'],
        'rpc_port': 0,
        'admin_port': 0,
        'http_port': 0,
        **process,
    }
    return Settings(
        process=ProcessSection(**values),
        platform=PlatformSection(address='127.0.0.1:9'),
    )
