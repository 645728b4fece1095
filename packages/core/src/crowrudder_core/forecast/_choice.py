"""The choice among upstreams by what each is forecast to need."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from attrs import frozen

from crowrudder_core.forecast._outlook import CROWDED, FAILURE_COST_S

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Sequence
    from random import Random

    from crowrudder_core.forecast._outlook import Outlook
    from crowrudder_core.forecast._paths import Path

OTHER_REGION_S = 0.06
"""What the bytes over a region link are worth in seconds of forecast."""

OTHER_DOMAIN_S = 0.02
CROWDING_S = 0.12
"""The preference lost by an upstream whose slots are all taken."""

HOP_S = 0.03
"""One more engine on a request's path: whole engines are preferred, as long
as they begin by so much sooner."""

SPREAD_S = 0.02
"""Forecasts closer than this are told apart by chance: entries with the same
words would else all choose the same upstream until the next word."""

DRAWN = 4
"""Candidates that are compared: three of the own region where it has them,
and one of another."""


_Option = TypeVar('_Option')


@frozen(kw_only=True)
class Candidate:
    """An upstream that could be sent a request, and how far it is.

    ``weights`` is the version that the request would begin on, ``path`` the
    engines that it would pass, the upstream the first of them; None where the
    upstream runs all layers.
    """

    outlook: Outlook
    other_domain: bool = False
    other_region: bool = False
    weights: int = 0
    path: Path | None = None


@frozen(kw_only=True)
class Choice:
    """A chosen upstream and its forecast."""

    outlook: Outlook
    first_s: float
    weights: int = 0
    path: Path | None = None

    @property
    def outlooks(self) -> tuple[Outlook, ...]:
        """The engines that the request passes."""
        if self.path is None:
            return (self.outlook,)
        return tuple(holder.outlook for holder in self.path.holders)


def choose(
    candidates: Iterable[Candidate],
    *,
    prompt: int,
    now: float,
    random: Random,
    drawn: int = DRAWN,
) -> Choice | None:
    """Give the best of some candidates, drawn by chance.

    What goes wrong with the best of all: entries have the same words of the
    same agents, up to a tenth of a second old, and all of them choose the
    engine that looks the emptiest until the next word. Nor are all looked at
    before a request is refused: in overload, that is the best of all again.

    Parameters
    ----------
    prompt
        Prompt tokens of the request.
    drawn
        How many are drawn.
    """
    options = list(candidates)
    near = [each for each in options if not each.other_region]
    far = [each for each in options if each.other_region]
    return choose_fitting(
        ((near, drawn - 1), (far, drawn)),
        lambda each: each,
        prompt=prompt,
        now=now,
        random=random,
    )


def choose_fitting(
    pools: Iterable[tuple[Sequence[_Option], int]],
    fit: Callable[[_Option], Candidate | None],
    *,
    prompt: int,
    now: float,
    random: Random,
) -> Choice | None:
    """Give the best of some that fit, drawn by chance; see `choose`.

    Options are looked at only until enough fit: looking at all of them for
    each request would cost an entry the more the larger the fleet is.

    Parameters
    ----------
    pools
        Options, those to draw from first in front, each with how many
        candidates are enough by the end of it.
    fit
        Gives the candidate that an option stands for; None where it can't
        serve the request.
    """
    sound: list[Candidate] = []
    avoided: list[Candidate] = []
    for options, enough in pools:
        spare: list[Candidate] = []
        fitting = _fitting(options, fit, random)
        while len(sound) < enough:
            candidate = next(fitting, None)
            if candidate is None:
                break
            is_avoided = candidate.outlook.is_avoided(now)
            (spare if is_avoided else sound).append(candidate)
        avoided += spare[: enough - len(avoided)]
    drawn = sound or avoided
    return _best(drawn, prompt, now, random) if drawn else None


def _fitting(
    options: Sequence[_Option],
    fit: Callable[[_Option], Candidate | None],
    random: Random,
) -> Iterator[Candidate]:
    """Give those that fit, in an order by chance."""
    left = list(options)
    while left:
        index = random.randrange(len(left))
        left[index], left[-1] = left[-1], left[index]
        candidate = fit(left.pop())
        if candidate is not None:
            yield candidate


def _best(
    candidates: list[Candidate], prompt: int, now: float, random: Random
) -> Choice:
    best = min(candidates, key=lambda each: _cost(each, prompt, now, random))
    return Choice(
        outlook=best.outlook,
        first_s=best.outlook.admitted_first_s(prompt, now),
        weights=best.weights,
        path=best.path,
    )


def _cost(
    candidate: Candidate,
    prompt: int,
    now: float,
    random: Random,
) -> float:
    outlook = candidate.outlook
    crowd = max(outlook.occupancy(now) - CROWDED, 0) / (1 - CROWDED)
    return (
        outlook.first_s(prompt, now)
        + CROWDING_S * crowd
        + FAILURE_COST_S * outlook.failure_share
        + OTHER_REGION_S * candidate.other_region
        + OTHER_DOMAIN_S * candidate.other_domain
        + _hops_s(candidate.path)
        + random.uniform(0, SPREAD_S)
    )


def _hops_s(path: Path | None) -> float:
    if path is None:
        return 0
    hops = len(path.parts) - 1
    return HOP_S * hops + OTHER_REGION_S * path.crossings
