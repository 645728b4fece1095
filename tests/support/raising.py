"""Steps of the product that raise an error which nobody foresaw."""

from __future__ import annotations

import inspect


class UnforeseenError(Exception):
    """An error that no handler names."""


def raise_once(monkeypatch, owner, name, *, after=False, only_if=None):
    """Let one call of a method raise; return the list of calls that did.

    Parameters
    ----------
    after
        Whether the method does its work first.
    only_if
        Whether a call with these positional arguments counts; all do without
        one.
    """
    original = getattr(owner, name)
    raised: list[str] = []

    def is_due(args):
        return not raised and (only_if is None or only_if(*args))

    def end(_outcome):
        raised.append(name)
        raise UnforeseenError(name)

    async def step_async(*args, **more):
        if not is_due(args):
            return await original(*args, **more)
        return end(await original(*args, **more) if after else None)

    def step(*args, **more):
        if not is_due(args):
            return original(*args, **more)
        return end(original(*args, **more) if after else None)

    is_async = inspect.iscoroutinefunction(original)
    monkeypatch.setattr(owner, name, step_async if is_async else step)
    return raised
