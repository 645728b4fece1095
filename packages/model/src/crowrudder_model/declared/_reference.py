"""The reference page of the declared files, generated from the rules."""

from __future__ import annotations

from crowrudder_model.declared._checks import format_value
from crowrudder_model.declared._declaration import Declaration
from crowrudder_model.declared._sections import FLEET, KINDS, Key, keys_of

PAGE_HEAD = """\
# The declared files

A directory of `.ini` files declares the whole fleet. Any file may hold any
section; a section stands in one file only. `crowrudder check DIR` names every
fault with file, section, key, what was found and what is allowed.
This page is written from the rules that the check uses:
`python scripts/declared_reference.py`.

Names are 1 to 64 letters, digits, `.`, `_` and `-`. Lists are separated by
commas. Lines that start with `#` or `;` are comments.
"""
PAGE_TAIL = """
## What must agree over the whole directory

- Every model, version, adapter and service that a section names is declared.
- A model is served by one service at most.
- A version and an adapter belong to the model of the service that uses them;
  an adapter fits one version.
- A service of kind `plain` has no keys of an engine: its hosts are the agents
  whose settings name it.
- The shares of a service's customers sum to 1 at most.
- Hosts go to the services of kind `engine` in the order of their names. A
  service with `replicas = 0` takes every eligible host, so no later service
  may be confined to the same places.
- A customer's `rate_per_s` is at most what its services carry: replicas times
  `slots_per_replica`, through `request_s`.
- The bundle is at most 1,000,000 bytes.

With the bundle before at hand (`--parent FILE` or `--in-force ADMIN`):

- `parent` is its digest, and `generation` is higher than its own.
- What it uses is still declared: delete a section one generation after its
  last use.
- A version keeps its `manifest`: other weights get a new name.

With the members at hand (`--in-force ADMIN`): every service of kind `engine`
finds as many hosts as it has replicas, and at least one.
"""
TABLE_HEAD = '\n| key | allowed | default | meaning |\n|---|---|---|---|\n'


def reference_page() -> str:
    """Return the page as the documentation has it."""
    sections = [_section(FLEET, Declaration)]
    sections.extend(
        _section(f'{kind}:NAME', declared) for kind, declared in KINDS.items()
    )
    return ''.join((PAGE_HEAD, *sections, PAGE_TAIL))


def _section(head: str, declared: type) -> str:
    about = (declared.__doc__ or '').splitlines()[0]
    rows = ''.join(_row(key) for key in keys_of(declared))
    table = f'{TABLE_HEAD}{rows}' if rows else '\nNo keys.\n'
    return f'\n## `[{head}]`\n\n{about}\n{table}'


def _row(key: Key) -> str:
    rule = key.rule
    default = 'required' if key.is_required else _default(key)
    meaning = rule.meaning
    if rule.only_for:
        meaning = f'{meaning} (kind `{rule.only_for}` only)'
    return f'| {key.name} | {rule.kind.allowed} | {default} | {meaning} |\n'


def _default(key: Key) -> str:
    if key.rule.only_for and key.default == '':
        return f'required for `{key.rule.only_for}`'
    text = format_value(key.default)
    return f'`{text}`' if text else 'nothing'
