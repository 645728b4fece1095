"""Published records other than the configuration."""

from __future__ import annotations

import enum

from attrs import frozen

from crowrudder_model.fleet._config import FleetConfig
from crowrudder_model.fleet._layers import NO_LAYERS, LayerRange


class UpstreamState(enum.Enum):
    """Whether an upstream accepts new requests."""

    READY = 'ready'
    LEAVING = 'leaving'


@frozen(kw_only=True)
class Upstream:
    """An incarnation of a process that serves requests.

    A later incarnation may have the same ``id``; ``started_ms``, the start in
    milliseconds since 1970 and 0 if unknown, distinguishes them. Another
    upstream may reuse ``address`` after this one ended. ``model`` and
    ``weights`` are the loaded model and version: an empty name and 0 if none
    is loaded, and for plain services. ``layers`` is the range of the model's
    layers that it holds. ``slots`` is the number of concurrent requests.
    ``warm_up_s`` is how long it was still cold when the record was published.
    """

    id: str
    service: str
    address: str
    failure_domain: str = ''
    slots: int = 1
    state: UpstreamState = UpstreamState.READY
    model: str = ''
    weights: int = 0
    layers: LayerRange = NO_LAYERS
    warm_up_s: float = 0
    started_ms: int = 0

    @property
    def host_ip(self) -> str:
        """The IP address of its host."""
        return self.address.rpartition(':')[0]


@frozen(kw_only=True)
class TargetVersion:
    """The version of the weights with which a model is to be served."""

    model: str
    version: int


@frozen(kw_only=True)
class Evacuation:
    """An order to send nothing to the upstreams of a failure domain.

    It is in force as long as its record exists.
    """

    failure_domain: str


PublishedRecord = FleetConfig | Upstream | TargetVersion | Evacuation
