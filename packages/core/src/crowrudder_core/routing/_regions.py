"""The regions in which a request may be served."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from crowrudder_model.fleet import CustomerKeys, Route
    from crowrudder_model.messages import MemberStatus


def allowed_regions(
    route: Route, customer: CustomerKeys | None
) -> frozenset[str] | None:
    """Return the regions that route and customer both allow; None for any.

    The result is empty if they have no region in common: then no upstream may
    serve the request.
    """
    of_customer = customer.regions if customer else frozenset()
    if route.regions and of_customer:
        return route.regions & of_customer
    return route.regions or of_customer or None


def entries_for_caller(
    entries: Sequence[MemberStatus],
    *,
    caller_region: str,
    serving_regions: frozenset[str] | None,
) -> list[MemberStatus]:
    """Return the entries to which a caller may send its requests.

    The body of a request that only some regions may serve should enter the
    fleet in the caller's own region, else in one that serves it. If none of
    them has an entry, all are returned: each entry refuses what it may not
    serve.

    Parameters
    ----------
    serving_regions
        The regions of the routes of the caller's host name; None for any.
    """
    if serving_regions is None:
        return list(entries)
    near = [entry for entry in entries if entry.region == caller_region]
    if near:
        return near
    serving = [entry for entry in entries if entry.region in serving_regions]
    return serving or list(entries)
