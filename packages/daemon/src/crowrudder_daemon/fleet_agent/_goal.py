"""Which weights version an engine should hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from crowrudder_core.catalog import FleetView
    from crowrudder_model.fleet import EngineFigures, Node

MIN_USE_S = 1.5
"""A version is loaded only if requests may start on it for at least this long."""


@frozen
class Goal:
    """The version that the engine should hold; 0 for the origin's newest.

    ``newest`` is the newest version published when the goal was set: the goal
    is abandoned once a newer one is published.
    """

    model: str
    version: int
    published_at: float
    newest: int


def model_of(view: FleetView, node: Node) -> str:
    """Return the model that the node's engine serves; empty while unknown."""
    figures = figures_of(view, node)
    return figures.model if figures else ''


def newest_goal(view: FleetView, node: Node, *, now: float) -> Goal | None:
    """Return the goal; None while the model is unknown."""
    model = model_of(view, node)
    if not model:
        return None
    release = view.releases.newest(model)
    if release is None:
        return Goal(model, 0, now, 0)
    return Goal(model, release.version, release.published_at, release.version)


def is_worth_loading(
    version: int, *, whole: int, held: int, ends_at: float, now: float
) -> bool:
    """Return whether an engine benefits from loading a version its host holds.

    Comparing with the completely loaded version alone is wrong: while the
    newest version is partially loaded and serves in pipelines, the previous
    one becomes complete and would be loaded over it, though no request may
    start on it any more. Engines would load a version after its end, and a
    pipeline that relies on the partial version would compute a token with two
    versions.

    Parameters
    ----------
    whole, held
        The version that the engine holds completely, and the version of any
        layers it holds; 0 for none.
    ends_at
        From when no request may start on the version, on the clock of ``now``.
    """
    if whole >= version or held > version:
        return False
    return ends_at - now >= MIN_USE_S


def figures_of(view: FleetView, node: Node) -> EngineFigures | None:
    """Return the figures of the node's engine; None while unknown."""
    service = view.config.service(node.service) if view.config else None
    return service.engine if service else None


def may_cut_off(view: FleetView, node: Node) -> bool:
    """Return whether every request of the engine can be resumed elsewhere."""
    routes = view.config.routes if view.config else ()
    return all(
        route.repeatable
        for route in routes
        if any(target.service == node.service for target in route.targets)
    )
