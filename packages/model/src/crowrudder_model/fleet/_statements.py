"""What an upstream states about itself in the head of an answer."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class UpstreamStatements:
    """Statements of an upstream about itself.

    Attributes
    ----------
    is_leaving
        Whether it will shut down and takes no further requests.
    pause_s
        Seconds for which it asks the receiver to send it nothing; None if it
        asks for no pause.
    limit_per_s
        Requests a second that it accepts from all entries together; None if
        it states no limit.
    invalid
        Name and value of each header that states something but can't be read.
    """

    is_leaving: bool = False
    pause_s: float | None = None
    limit_per_s: float | None = None
    invalid: tuple[tuple[str, str], ...] = ()


NO_STATEMENTS = UpstreamStatements()
