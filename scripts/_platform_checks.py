"""What a soak of the fleet on its users' platform holds its programs to."""

from __future__ import annotations

import time
from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Any

from _platform_fleet import CONFIG_S, DRAIN_S, STAND_INS, VERSION_S
from _platform_load import BLAMES, DEADLINE_S, NOT_RUN, Asked
from attrs import define, field

from crowrudder_core.transfer import chunks_of, indices
from crowrudder_model.fleet import LayerRange
from crowrudder_standins.fleet_replica import (
    LAYERS,
    FleetReplica,
    Run,
    body_of,
    stream_of,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from _platform_chaos import PlatformChaos
    from _platform_fleet import Life, PlatformFleet

IN_TOUCH_S = 3.0
"""A process counts as undisturbed so long after a fault at it ended."""

MARGIN_S = 0.7
"""The least by which an answer must be late to be called so: what a busy
machine may need to wake this process."""

LEFT_MARGIN_S = 0.5

NEAR_S = 1.0
"""Runs that begin on an old version so long before its end are counted."""


@define
class Verdict:
    """Counts of what came, and a line on each broken promise."""

    outcomes: Counter[str] = field(factory=Counter)
    broken: dict[str, list[str]] = field(factory=lambda: defaultdict(list))
    ends: Counter[str] = field(factory=Counter)
    """What the checks on ends of versions had before them."""

    def note(self, promise: str, text: str) -> None:
        """Note a broken promise."""
        self.broken[promise].append(text)


def judge(
    asked: Collection[Asked], fleet: PlatformFleet, chaos: PlatformChaos
) -> Verdict:
    """Hold what callers got against the replicas' books."""
    verdict = Verdict()
    runs = _runs(fleet)
    entries = {each.request_id: each.entry for each in asked}
    for each in asked:
        verdict.outcomes[_outcome(each)] += 1
        _judge_answer(each, verdict, chaos)
        _judge_runs(each, len(runs[each.request_id]), verdict)
    for life in fleet.all_lives():
        _judge_life(life, fleet, chaos, verdict)
        for run in life.replica.runs:
            sender = entries.get(run.request_id, '')
            met_by = {sender, fleet.agent_of(life)}
            _judge_end(run, life, met_by, fleet, chaos, verdict)
        verdict.ends.update(life.replica.places.seen)
    return verdict


def _runs(fleet: PlatformFleet) -> dict[str, list[FleetReplica]]:
    found: dict[str, list[FleetReplica]] = defaultdict(list)
    for life in fleet.all_lives():
        for run in life.replica.runs:
            found[run.request_id].append(life.replica)
    return found


def _outcome(each: Asked) -> str:
    if each.left:
        return 'left'
    if each.refused:
        return 'no connection'
    if not each.is_whole:
        return 'cut' if each.status else 'no answer'
    return str(each.status)


def _judge_answer(each: Asked, verdict: Verdict, chaos: PlatformChaos) -> None:
    text = f'{each.request_id} {each.kind.path} at {each.entry}: '
    if each.left or each.refused:
        return
    is_disturbed = chaos.met(
        each.entry, each.began_at - IN_TOUCH_S, each.ended_at
    )
    if not each.is_whole:
        if not each.kind.is_stream and not chaos.died(
            each.entry, each.began_at - 1, each.ended_at
        ):
            verdict.note('unanswered', f'{text}{each.status} {each.reason}')
        return
    if each.status == 200:
        _judge_body(each, text, verdict)
    if each.status in BLAMES:
        verdict.note('blamed', f'{text}{each.status} {each.body!r}')
    if each.status in NOT_RUN and not each.retry_after:
        verdict.note('no time to come back', f'{text}{each.status}')
    took_s = each.ended_at - each.began_at
    if took_s > DEADLINE_S + MARGIN_S and not is_disturbed:
        verdict.note('late', f'{text}{took_s:.2f} s')


def _judge_body(each: Asked, text: str, verdict: Verdict) -> None:
    make = stream_of if each.kind.is_stream else body_of
    if each.body != make(each.request_id):
        verdict.note('not whole', f'{text}{each.body[:60]!r}')
    if not each.has_seal:
        verdict.note('nobody vouches', text)
    if each.echoed != each.request_id:
        verdict.note('crossed', f'{text}{each.echoed}')


def _judge_runs(each: Asked, runs: int, verdict: Verdict) -> None:
    text = f'{each.request_id} {each.kind.path} at {each.entry}: {runs} runs'
    if each.kind.is_once and runs > 1:
        verdict.note('doubled', text)
    is_refused = each.is_whole and each.status in NOT_RUN
    if each.kind.is_once and is_refused and runs:
        verdict.note('not run but ran', f'{text}, {each.status}')
    if each.is_whole and each.status == 200 and not runs:
        verdict.note('made up', text)


def _judge_life(
    life: Life, fleet: PlatformFleet, chaos: PlatformChaos, verdict: Verdict
) -> None:
    for pieces, order in zip(
        life.replica.taken, life.replica.orders, strict=False
    ):
        version = int(order['version'])
        for index in _pieces_of(order, fleet.origin.count):
            if pieces.get(index) != fleet.origin.piece(version, index):
                verdict.note(
                    'partial weights',
                    f'{life.replica.id} version {version} piece {index}',
                )
    for path in life.replica.paths:
        if _layers_run(path) != list(range(LAYERS)):
            verdict.note('layers not once', f'{life.replica.id} path {path}')
    for run in life.replica.runs:
        _judge_leaving(life, run.began_at, chaos, verdict)


def _pieces_of(order: dict[str, Any], count: int) -> Iterable[int]:
    """Give the pieces that an order takes: those of its layers."""
    layers = LayerRange(order.get('from', 0), order.get('target', LAYERS))
    return indices(chunks_of(layers, layers=LAYERS, chunks=count))


def _layers_run(path: str) -> list[int]:
    """Give the layers that a path runs, in its order."""
    ranges = [
        part.rpartition('=')[2].partition('-') for part in path.split(',')
    ]
    return [
        layer
        for first, _, end in ranges
        for layer in range(int(first), int(end))
    ]


def _judge_leaving(
    life: Life, began_at: float, chaos: PlatformChaos, verdict: Verdict
) -> None:
    """Check a run's beginning against leaving.

    Only where nothing at all was disturbed shortly before: who saw the
    replica leave isn't in its books.
    """
    if life.left_at is None:
        return
    due_at = life.left_at + DRAIN_S + LEFT_MARGIN_S
    if began_at > due_at and not _any_trouble(chaos, due_at - DRAIN_S):
        verdict.note(
            'sent to one that left',
            f'{life.replica.id} {began_at - life.left_at:.2f} s after',
        )


def _judge_end(
    run: Run,
    life: Life,
    met_by: set[str],
    fleet: PlatformFleet,
    chaos: PlatformChaos,
    verdict: Verdict,
) -> None:
    """Check when a run began against the end of its version, to the instant.

    The end is the aim itself, without a margin: naming, the end and the run's
    beginning, out of the queue, are read from one clock in one process, and
    what needs time on the way has to be done before the end. Excused where
    the entry that sent it or the engine's agent was disturbed, or what all
    depend on, and where the engines' process stood still near the end.
    """
    newer = [version for version in fleet.named_at if 0 < run.weights < version]
    if not newer:
        return
    version = min(newer, key=fleet.named_at.__getitem__)
    named_at = fleet.named_at[version]
    late_s = run.began_at - named_at - VERSION_S
    if late_s <= 0:
        verdict.ends['began in the last second'] += late_s > -NEAR_S
        return
    since = named_at - IN_TOUCH_S
    is_met = any(chaos.met(name, since, run.began_at) for name in met_by)
    near = named_at + VERSION_S - NEAR_S
    if is_met or chaos.met(STAND_INS, near, run.began_at):
        verdict.ends['late, excused'] += 1
        return
    verdict.note(
        'old weights',
        f'{run.request_id} at {life.replica.id} on {run.weights} '
        f'{late_s:.3f} s after its end, {version} being named',
    )


def _any_trouble(chaos: PlatformChaos, since: float) -> bool:
    return any(
        trouble.ended_at >= since - IN_TOUCH_S
        for trouble in chaos.troubles
        if trouble.name != STAND_INS
    )


def key_for(fleet: PlatformFleet, published_at: list[float]) -> str:
    """Give the newest key that every process has to know by now."""
    due = [
        number
        for number, at in enumerate(published_at)
        if time.monotonic() - at > CONFIG_S + IN_TOUCH_S
    ]
    return fleet.keys[due[-1]] if due else fleet.keys[0]
