"""Log and metrics of the published records that come into force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from crowrudder_daemon.fleet._describe import describe_record
from crowrudder_model.fleet import FleetConfig

if TYPE_CHECKING:
    from crowrudder_core.catalog import Evacuations
    from crowrudder_daemon.process import Runtime
    from crowrudder_model.fleet import NodeLocation, PublishedRecord
    from crowrudder_model.messages import PublishedItem


@define(eq=False)
class RecordLog:
    """Logs records, and each change of the evacuated failure domains."""

    _runtime: Runtime
    _place: NodeLocation
    _evacuations: Evacuations
    _logged: frozenset[str] = field(default=frozenset(), init=False)

    def __attrs_post_init__(self) -> None:
        """Declare the gauge of evacuated failure domains."""
        self._runtime.metrics.gauge(
            'evacuated_domains',
            'Failure domains to which nothing is sent by order of operators.',
            lambda: float(len(self._evacuations.domains)),
        )

    def on_taken(
        self,
        item: PublishedItem,
        record: PublishedRecord | None,
        *,
        era: int,
        teller: str,
    ) -> None:
        """Log a record that was taken; None if it was removed."""
        self._runtime.log.info(
            'record taken',
            extra={
                'step': 'record',
                'record': describe_record(record) if record else 'removed',
                'key': item.key,
                'era': era,
                'revision': item.revision,
                'teller': teller,
                'age_s': round(item.age_s, 3),
            },
        )
        if isinstance(record, FleetConfig):
            self._on_config(record)
        self._log_evacuations(item.age_s)

    def _on_config(self, config: FleetConfig) -> None:
        """Log regions that no failure domain is in: nothing can serve there."""
        known = set(dict(self._place.regions).values())
        unknown = config.regions - known
        if unknown:
            self._runtime.log.warning(
                'requests are restricted to unknown regions',
                extra={'step': 'record', 'regions': sorted(unknown)},
            )

    def _log_evacuations(self, age_s: float) -> None:
        """Log the change of evacuations by a record of an age, if any."""
        domains = self._evacuations.domains
        for failure_domain in sorted(domains - self._logged):
            self._log(failure_domain, 'ordered', age_s)
            if not self._place.region_of(failure_domain):
                self._runtime.log.warning(
                    'evacuation of an unknown failure domain',
                    extra={
                        'step': 'evacuation',
                        'failure_domain': failure_domain,
                    },
                )
        for failure_domain in sorted(self._logged - domains):
            self._log(failure_domain, 'taken back', age_s)
        self._logged = domains

    def _log(self, failure_domain: str, state: str, age_s: float) -> None:
        self._runtime.log.info(
            'evacuation',
            extra={
                'step': 'evacuation',
                'failure_domain': failure_domain,
                'state': state,
                'age_s': round(age_s, 3),
            },
        )
