"""The complete declared configuration as one value."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

from attrs import field, frozen

from crowrudder_model.declared._parts import (
    Adapter,
    Customer,
    Model,
    Part,
    Service,
    Version,
)
from crowrudder_model.declared._rules import Digest, WholeNumber, rule

MAX_GENERATION = (1 << 53) - 1

PartT = TypeVar('PartT', Service, Model, Version, Adapter, Customer)


@frozen
class Declaration:
    """A generation of the declared configuration.

    Parts that were read from files or from a bundle are sorted by name.

    >>> Declaration(1, models=(Model('listing'),)).model('listing')
    Model(name='listing')
    """

    generation: int = field(
        metadata=rule(
            WholeNumber(1, MAX_GENERATION),
            'counts up; the higher one is in force',
        ),
    )
    parent: str = field(
        default='',
        metadata=rule(
            Digest(may_be_empty=True),
            'digest of the bundle that this one follows; empty: the first',
        ),
    )
    services: tuple[Service, ...] = ()
    models: tuple[Model, ...] = ()
    versions: tuple[Version, ...] = ()
    adapters: tuple[Adapter, ...] = ()
    customers: tuple[Customer, ...] = ()

    def service(self, name: str) -> Service | None:
        """Return the service with a name, or None."""
        return _named(self.services, name)

    def service_of_model(self, model: str) -> Service | None:
        """Return the only service that serves a model, or None."""
        serving = (item for item in self.services if item.model == model)
        return next(serving, None) if model else None

    def model(self, name: str) -> Model | None:
        """Return the model with a name, or None."""
        return _named(self.models, name)

    def version(self, name: str) -> Version | None:
        """Return the version with a name, or None."""
        return _named(self.versions, name)

    def adapter(self, name: str) -> Adapter | None:
        """Return the adapter with a name, or None."""
        return _named(self.adapters, name)

    def customer(self, name: str) -> Customer | None:
        """Return the customer with a name, or None."""
        return _named(self.customers, name)

    def parts(self) -> tuple[Part, ...]:
        """Return all declared parts, grouped by kind."""
        return (
            *self.services,
            *self.models,
            *self.versions,
            *self.adapters,
            *self.customers,
        )


def _named(parts: Iterable[PartT], name: str) -> PartT | None:
    return next((part for part in parts if part.name == name), None)
