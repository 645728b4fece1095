"""Metrics: OpenTelemetry instruments with fixed names and labels.

Every name starts with ``crowrudder_``; counters end in ``_total``. Undeclared
labels are refused, so that an id can't become a label by accident and grow
memory with every request.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from attrs import frozen
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry
from prometheus_client.exposition import generate_latest

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from opentelemetry import metrics as api

PREFIX = 'crowrudder_'
SECONDS = (0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.75, 1, 2.5, 5, 15)


class LabelError(ValueError):
    """A metric was used with labels other than the declared ones."""


@frozen
class Counter:
    """A monotonic sum."""

    name: str
    labels: frozenset[str]
    _instrument: api.Counter

    def add(self, amount: float = 1, **labels: str) -> None:
        """Add; every declared label must be given."""
        _check(self.name, self.labels, labels)
        self._instrument.add(amount, labels)


@frozen
class Histogram:
    """A distribution of measured values."""

    name: str
    labels: frozenset[str]
    _instrument: api.Histogram

    def record(self, measured: float, **labels: str) -> None:
        """Record one value; every declared label must be given."""
        _check(self.name, self.labels, labels)
        self._instrument.record(measured, labels)


class Metrics:
    """The metrics of one process, in a registry of its own."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._reader = PrometheusMetricReader(
            disable_target_info=True,
            scope_info_enabled=False,
            registry=self._registry,
        )
        self._provider = MeterProvider(
            metric_readers=[self._reader],
            resource=Resource.get_empty(),
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter('crowrudder')
        self.invariant_violations = self.counter(
            'invariant_violations',
            'Unsafe acts that an invariant refused.',
            labels=('invariant',),
        )
        self.unhandled_faults = self.counter(
            'unhandled_faults',
            'Faults that no handler expected; the process went on.',
            labels=('step',),
        )

    def counter(
        self,
        name: str,
        description: str,
        *,
        labels: Sequence[str] = (),
    ) -> Counter:
        """Declare a counter; shown as ``crowrudder_<name>_total``."""
        instrument = self._meter.create_counter(
            PREFIX + name, description=description
        )
        return Counter(name, frozenset(labels), instrument)

    def histogram(
        self,
        name: str,
        description: str,
        *,
        labels: Sequence[str] = (),
        bounds: Sequence[float] = SECONDS,
    ) -> Histogram:
        """Declare a histogram; the name ends in its unit, as ``_seconds``."""
        instrument = self._meter.create_histogram(
            PREFIX + name,
            description=description,
            explicit_bucket_boundaries_advisory=bounds,
        )
        return Histogram(name, frozenset(labels), instrument)

    def gauge(
        self,
        name: str,
        description: str,
        read: Callable[[], float],
        **labels: str,
    ) -> None:
        """Declare a gauge, whose value is read when metrics are rendered."""
        self.gauges(name, description, lambda: ((labels, read()),))

    def gauges(
        self,
        name: str,
        description: str,
        read: Callable[[], Iterable[tuple[Mapping[str, str], float]]],
    ) -> None:
        """Declare a gauge with labels; `read` lists them with their values."""

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            return [Observation(level, labels) for labels, level in read()]

        self._meter.create_observable_gauge(
            PREFIX + name,
            callbacks=[observe],
            description=description,
        )

    def invariant_violated(self, invariant: str) -> None:
        """Count an unsafe operation that an invariant refused."""
        self.invariant_violations.add(invariant=invariant)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Stop collecting."""
        self._provider.shutdown()


def _check(
    name: str,
    declared: frozenset[str],
    given: Mapping[str, str],
) -> None:
    if given.keys() != declared:
        raise LabelError(
            f'{PREFIX}{name}: labels {sorted(given)} given, '
            f'{sorted(declared)} declared',
        )
