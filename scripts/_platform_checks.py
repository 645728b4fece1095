"""Checks on the results of a platform soak run."""

from __future__ import annotations

import time
from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Any

from _platform_body_ends import looks_ended
from _platform_descriptions import describe_answer
from _platform_fleet import CONFIG_S, DRAIN_S, STAND_INS, VERSION_S
from _platform_load import (
    CALLER_ERROR_STATUSES,
    DEADLINE_S,
    NOT_RUN_STATUSES,
    RequestResult,
)
from attrs import define, field

from crowrudder_core.transfer import chunks_of_layers, indices
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
    from _platform_fleet import PlatformFleet, ReplicaIncarnation

RECOVERY_S = 3.0
"""Time after the end of a fault until a process counts as undisturbed."""

LATE_MARGIN_S = 0.7
"""Tolerance before an answer counts as late: a busy machine may need this long
to wake this process."""

DRAIN_MARGIN_S = 0.5

END_WINDOW_S = 1.0
"""Runs that begin on an old version within this time before its end are
counted."""


@define
class Verdict:
    """Counts of outcomes, and a line for each violation, by check."""

    outcomes: Counter[str] = field(factory=Counter)
    violations: dict[str, list[str]] = field(factory=lambda: defaultdict(list))
    ends: Counter[str] = field(factory=Counter)
    """Counts of the cases that the checks on version ends covered."""

    def add_violation(self, check: str, text: str) -> None:
        """Record a violation of a check."""
        self.violations[check].append(text)


def check_run(
    results: Collection[RequestResult],
    fleet: PlatformFleet,
    chaos: PlatformChaos,
) -> Verdict:
    """Compare the callers' results with the replicas' request logs."""
    verdict = Verdict()
    runs = _runs(fleet)
    entries = {each.request_id: each.entry for each in results}
    for each in results:
        verdict.outcomes[_outcome(each)] += 1
        ran = runs[each.request_id]
        _check_answer(each, ran, verdict, chaos)
        _check_runs(each, len(ran), verdict)
    for incarnation in fleet.all_incarnations():
        _check_incarnation(incarnation, fleet, chaos, verdict)
        for run in incarnation.replica.runs:
            sender = entries.get(run.request_id, '')
            responsible = {sender, fleet.agent_of(incarnation)}
            _check_version_end(
                run, incarnation, responsible, fleet, chaos, verdict
            )
        verdict.ends.update(incarnation.replica.places.seen)
    return verdict


def _runs(
    fleet: PlatformFleet,
) -> dict[str, list[tuple[FleetReplica, Run]]]:
    found: dict[str, list[tuple[FleetReplica, Run]]] = defaultdict(list)
    for incarnation in fleet.all_incarnations():
        for run in incarnation.replica.runs:
            found[run.request_id].append((incarnation.replica, run))
    return found


def _outcome(each: RequestResult) -> str:
    if each.caller_left:
        return 'left'
    if each.connect_failed:
        return 'no connection'
    if not each.is_whole:
        return 'cut' if each.status else 'no answer'
    return str(each.status)


def _check_answer(
    each: RequestResult,
    ran: Collection[tuple[FleetReplica, Run]],
    verdict: Verdict,
    chaos: PlatformChaos,
) -> None:
    text = f'{each.request_id} {each.kind.path} at {each.entry}: '
    if each.caller_left or each.connect_failed:
        return
    is_disturbed = chaos.was_disturbed(
        each.entry, each.began_at - RECOVERY_S, each.ended_at
    )
    if not each.is_whole:
        if each.kind.is_stream and each.status == 200:
            _check_part(each, ran, text, verdict)
        if not each.kind.is_stream and not chaos.was_killed(
            each.entry, each.began_at - 1, each.ended_at
        ):
            verdict.add_violation(
                'unanswered', f'{text}{each.status} {each.reason}'
            )
        return
    if each.status == 200:
        _check_body(each, ran, text, verdict)
    if each.status in CALLER_ERROR_STATUSES:
        verdict.add_violation('blamed', f'{text}{each.status} {each.body!r}')
    if each.status in NOT_RUN_STATUSES and not each.retry_after:
        verdict.add_violation('no time to come back', f'{text}{each.status}')
    took_s = each.ended_at - each.began_at
    if took_s > DEADLINE_S + LATE_MARGIN_S and not is_disturbed:
        verdict.add_violation('late', f'{text}{took_s:.2f} s')


def _check_body(
    each: RequestResult,
    ran: Collection[tuple[FleetReplica, Run]],
    text: str,
    verdict: Verdict,
) -> None:
    expected_body = stream_of if each.kind.is_stream else body_of
    expected = expected_body(each.request_id)
    is_whole = each.body == expected
    if not is_whole and ran and looks_ended(each, ran):
        verdict.ends['looks ended'] += 1
    elif not is_whole:
        verdict.add_violation(
            'not whole', text + describe_answer(each.body, expected, ran)
        )
    if not each.has_seal:
        verdict.add_violation('nobody vouches', text)
    if each.echoed != each.request_id:
        verdict.add_violation('crossed', f'{text}{each.echoed}')


def _check_part(
    each: RequestResult,
    ran: Collection[tuple[FleetReplica, Run]],
    text: str,
    verdict: Verdict,
) -> None:
    """Check that a truncated stream has each event once, in order."""
    expected = stream_of(each.request_id)
    if not expected.startswith(each.body):
        verdict.add_violation(
            'joined', text + describe_answer(each.body, expected, ran)
        )


def _check_runs(each: RequestResult, runs: int, verdict: Verdict) -> None:
    text = f'{each.request_id} {each.kind.path} at {each.entry}: {runs} runs'
    if each.kind.is_once and runs > 1:
        verdict.add_violation('doubled', text)
    is_refused = each.is_whole and each.status in NOT_RUN_STATUSES
    if each.kind.is_once and is_refused and runs:
        verdict.add_violation('not run but ran', f'{text}, {each.status}')
    if each.is_whole and each.status == 200 and not runs:
        verdict.add_violation('made up', text)


def _check_incarnation(
    incarnation: ReplicaIncarnation,
    fleet: PlatformFleet,
    chaos: PlatformChaos,
    verdict: Verdict,
) -> None:
    for pieces, order in zip(
        incarnation.replica.taken, incarnation.replica.orders, strict=False
    ):
        version = int(order['version'])
        for index in _pieces_of(order, fleet.origin.count):
            if pieces.get(index) != fleet.origin.piece(version, index):
                verdict.add_violation(
                    'partial weights',
                    f'{incarnation.replica.id} version {version} piece {index}',
                )
    for pipeline in incarnation.replica.paths:
        if _layers_run(pipeline) != list(range(LAYERS)):
            verdict.add_violation(
                'layers not once', f'{incarnation.replica.id} path {pipeline}'
            )
    for run in incarnation.replica.runs:
        _check_draining(incarnation, run.began_at, chaos, verdict)


def _pieces_of(order: dict[str, Any], count: int) -> Iterable[int]:
    """Return the pieces that an order loads: those of its layers."""
    layers = LayerRange(order.get('from', 0), order.get('target', LAYERS))
    return indices(chunks_of_layers(layers, layers=LAYERS, chunks=count))


def _layers_run(pipeline: str) -> list[int]:
    """Return the layers that a pipeline runs, in order."""
    ranges = [
        part.rpartition('=')[2].partition('-') for part in pipeline.split(',')
    ]
    return [
        layer
        for first, _, end in ranges
        for layer in range(int(first), int(end))
    ]


def _check_draining(
    incarnation: ReplicaIncarnation,
    began_at: float,
    chaos: PlatformChaos,
    verdict: Verdict,
) -> None:
    """Check that no run begins at a replica after it has drained.

    Checked only if nothing at all was disturbed shortly before: a replica's
    request log doesn't show which entries saw it drain.
    """
    if incarnation.draining_since is None:
        return
    drained_at = incarnation.draining_since + DRAIN_S + DRAIN_MARGIN_S
    if began_at > drained_at and not _any_disturbance(
        chaos, drained_at - DRAIN_S
    ):
        verdict.add_violation(
            'sent to one that left',
            f'{incarnation.replica.id} {began_at - incarnation.draining_since:.2f} s after',
        )


def _check_version_end(
    run: Run,
    incarnation: ReplicaIncarnation,
    responsible: set[str],
    fleet: PlatformFleet,
    chaos: PlatformChaos,
    verdict: Verdict,
) -> None:
    """Check that a run began before the end of its version.

    There is no tolerance: the announcement, the end and the moment at which
    the run left the queue are read from one clock in one process, and any
    delay on the way must be allowed for before the end. A late run is excused
    if the entry that sent it, the engine's agent or a shared dependency was
    disturbed, or if the engines' process was suspended near the end.
    """
    newer = [
        version for version in fleet.announced_at if 0 < run.weights < version
    ]
    if not newer:
        return
    version = min(newer, key=fleet.announced_at.__getitem__)
    announced_at = fleet.announced_at[version]
    late_s = run.began_at - announced_at - VERSION_S
    if late_s <= 0:
        verdict.ends['began in the last second'] += late_s > -END_WINDOW_S
        return
    since = announced_at - RECOVERY_S
    is_excused = any(
        chaos.was_disturbed(name, since, run.began_at) for name in responsible
    )
    window_start = announced_at + VERSION_S - END_WINDOW_S
    if is_excused or chaos.was_disturbed(STAND_INS, window_start, run.began_at):
        verdict.ends['late, excused'] += 1
        return
    verdict.add_violation(
        'old weights',
        f'{run.request_id} at {incarnation.replica.id} on {run.weights} '
        f'{late_s:.3f} s after its end, {version} being named',
    )


def _any_disturbance(chaos: PlatformChaos, since: float) -> bool:
    return any(
        disturbance.ended_at >= since - RECOVERY_S
        for disturbance in chaos.disturbances
        if disturbance.name != STAND_INS
    )


def newest_known_key(fleet: PlatformFleet, published_at: list[float]) -> str:
    """Return the newest key that every process must know by now."""
    due_keys = [
        number
        for number, at in enumerate(published_at)
        if time.monotonic() - at > CONFIG_S + RECOVERY_S
    ]
    return fleet.keys[due_keys[-1]] if due_keys else fleet.keys[0]
