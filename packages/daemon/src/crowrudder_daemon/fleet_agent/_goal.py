"""Which version an engine is to have."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from crowrudder_core.catalog import FleetView
    from crowrudder_model.fleet import EngineFigures, Node

LEAST_USE_S = 1.5
"""A version is loaded only if requests may begin on it for so long."""


@frozen
class Goal:
    """A version for the engine; 0 for the newest that the origin has.

    ``newest`` is the newest that was named when the goal was set: the goal is
    given up once a newer one than that is named.
    """

    model: str
    version: int
    published_at: float
    newest: int


def model_of(view: FleetView, node: Node) -> str:
    """Give the model that the node's engine serves; empty while unknown."""
    figures = figures_of(view, node)
    return figures.model if figures else ''


def newest_goal(view: FleetView, node: Node, *, now: float) -> Goal | None:
    """Give the goal; None while the model isn't known."""
    model = model_of(view, node)
    if not model:
        return None
    release = view.releases.newest(model)
    if release is None:
        return Goal(model, 0, now, 0)
    return Goal(model, release.version, release.published_at, release.version)


def is_of_use(
    version: int, *, whole: int, held: int, ends_at: float, now: float
) -> bool:
    """Whether an engine gains by a version that its host has collected.

    What goes wrong when only the loaded version counts: the newest one is
    collected, a part of it is loaded and serves on paths; the one before is
    whole at last and is loaded over it, though nothing may begin on it any
    more. It is seen as engines that load a version after its end, and as a
    token made of two versions, on a path that went by the part.

    Parameters
    ----------
    whole, held
        The version that the engine holds whole, and that of any of its
        layers; 0 for none.
    ends_at
        From when nothing may begin on the version, on the clock of ``now``.
    """
    if whole >= version or held > version:
        return False
    return ends_at - now >= LEAST_USE_S


def figures_of(view: FleetView, node: Node) -> EngineFigures | None:
    """Give the figures of the node's engine; None while they aren't known."""
    service = view.config.service(node.service) if view.config else None
    return service.engine if service else None


def may_cut_off(view: FleetView, node: Node) -> bool:
    """Whether all that may run at the engine can go on at another one."""
    routes = view.config.routes if view.config else ()
    return all(
        route.repeatable
        for route in routes
        if any(target.service == node.service for target in route.targets)
    )
