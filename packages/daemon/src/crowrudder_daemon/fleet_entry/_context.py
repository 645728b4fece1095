"""The objects and metrics that all requests of an entry share."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define, field

if TYPE_CHECKING:
    from crowrudder_daemon.fleet.ports import CallerProtocol
    from crowrudder_daemon.fleet_entry._admission import EntryAdmission
    from crowrudder_daemon.fleet_entry._quarantine import RequestQuarantine
    from crowrudder_daemon.fleet_entry._upstreams import Upstreams
    from crowrudder_daemon.process import Runtime

REQUEST_BOUNDS_S = (
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 2, 4, 8,
)  # fmt: skip

SEND_BOUNDS_S = (0.0005, 0.001, 0.002, 0.003, 0.005, 0.01, 0.02, 0.05, 0.1)
"""Bounds for the time that the entry itself takes, which the time of a request
would hide."""


@define
class EntryContext:
    """The dialect, upstreams, quarantine, admission and request metrics."""

    dialect: CallerProtocol
    upstreams: Upstreams
    quarantine: RequestQuarantine
    admission: EntryAdmission
    _runtime: Runtime
    _outcomes: Any = field(init=False)
    _duration: Any = field(init=False)
    _first_event: Any = field(init=False)
    _first_send: Any = field(init=False)
    _body_ends: Any = field(init=False)
    _bounds_met: Any = field(init=False)
    region_refusals: Any = field(init=False)
    cuts_at_work: Any = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Declare the metrics of requests."""
        metrics = self._runtime.metrics
        self._outcomes = metrics.counter(
            'fleet_requests',
            'Requests by how they ended.',
            labels=('outcome', 'service', 'urgency'),
        )
        self._duration = metrics.histogram(
            'fleet_request_seconds',
            'Time from a request to the end of its answer.',
            labels=('outcome',),
            bounds=REQUEST_BOUNDS_S,
        )
        self._first_event = metrics.histogram(
            'fleet_first_event_seconds',
            'Time from a request to the first event of its stream.',
            bounds=REQUEST_BOUNDS_S,
        )

        self._first_send = metrics.histogram(
            'fleet_request_sent_seconds',
            'Time from a request to its first send to an upstream.',
            bounds=SEND_BOUNDS_S,
        )

        self.region_refusals = metrics.counter(
            'region_refusals',
            'Requests refused as no region that may serve them can.',
        )

        self.cuts_at_work = metrics.counter(
            'streams_cut_at_work',
            'Streams cut though their upstream was at work, by reason.',
            labels=('reason',),
        )

        self._body_ends = metrics.counter(
            'fleet_body_ends',
            'Answers of upstreams by what delimited them and how they ended.',
            labels=('framing', 'body_end'),
        )

        self._bounds_met = metrics.counter(
            'answer_bounds_met',
            'Answers of upstreams that were given up at a bound, by bound.',
            labels=('bound',),
        )

    def record_end(
        self,
        _execution: object,
        *,
        outcome: str,
        extra: dict[str, Any],
    ) -> None:
        """Log and count how a request ended."""
        self._runtime.log.info('request ended', extra=extra)
        self._outcomes.add(
            outcome=outcome,
            service=extra['service'],
            urgency=str(extra['urgency']),
        )
        for attempt in extra['attempts']:
            framing = attempt.get('framing')
            if framing is not None:
                self._body_ends.add(
                    framing=framing, body_end=attempt['body_end']
                )
            bound = attempt.get('bound')
            if bound is not None:
                self._bounds_met.add(bound=bound)
        self._duration.record(extra['took_s'], outcome=outcome)
        if extra['first_s'] >= 0:
            self._first_event.record(extra['first_s'])
        if extra['sent_s'] >= 0:
            self._first_send.record(extra['sent_s'])
