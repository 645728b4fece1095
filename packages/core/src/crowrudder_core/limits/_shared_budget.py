"""A retry budget that all entries keep together without shared state."""

from __future__ import annotations

from collections import deque

from attrs import define, field, frozen

SPENT_SHARE = 0.8
"""Share of the bound that an entry spends in a window at most. Entries differ
briefly in how many entries they know."""

SAVED_SHARE = 0.4
"""Share of the bound that an entry may save, to spend it at once."""

FIRST_EARNED_SHARE = (1 - SPENT_SHARE) / (1 - SPENT_SHARE + SAVED_SHARE)
"""Share of the bound that an entry earns in the first window after its start;
later it earns all of it.

A process that restarts forgets what the one before it spent. In the window
around its start, that one spent what it had saved and what it earned from
there on, `SPENT_SHARE` together at most; what is left of the window is at most
``1 - SPENT_SHARE + SAVED_SHARE`` of it, in which the new one earns the rest of
the bound."""

SETTLING_S = 2.0
"""Time after a start in which an entry may not know all others, and earns no
part of the fixed number."""


@frozen(kw_only=True)
class BudgetState:
    """What an entry has spent of a service's budget, and what it may spend.

    Parameters
    ----------
    requests, arrivals
        Requests in the current window, and arrivals beyond their first.
    unarrived
        Retries that were spent and may still arrive at any time.
    allowed
        Arrivals that the window may have; a fraction.
    earned
        Retries that were earned and not spent; a fraction.
    """

    requests: int
    arrivals: int
    unarrived: int
    allowed: float
    earned: float

    @property
    def has_retry(self) -> bool:
        """Whether one further retry may be spent."""
        spent = self.arrivals + self.unarrived
        return self.earned >= 1 and spent + 1 <= self.allowed


@define(eq=False)
class RetryPermit:
    """One retry that was spent; it is open until it arrived or was returned."""

    service: str
    is_open: bool = field(default=True, init=False)


@define
class _Account:
    """What an entry has earned and spent for one service.

    What is saved and what may still arrive are at most ``limit`` together.
    """

    credited_at: float
    limit: float = 1
    earned: float = 0
    unarrived: int = 0
    firsts: deque[float] = field(factory=deque)
    arrivals: deque[float] = field(factory=deque)

    def earn(self, amount: float) -> None:
        most = max(self.limit - self.unarrived, 0)
        self.earned = min(self.earned + amount, most)

    def drop_before(self, cutoff: float) -> None:
        for times in (self.firsts, self.arrivals):
            while times and times[0] < cutoff:
                times.popleft()


@define(kw_only=True)
class SharedRetryBudget:
    """Arrivals beyond the first of each request, by service and window.

    Each entry earns a ratio of its own requests, which over all entries is
    that ratio of all requests, and an equal part of the fixed number, spread
    over the window. Without such a budget, every entry would send each request
    to a failing service twice, and the added load would make it fail more.

    Arrivals count when they arrive: a link may hold what several windows sent,
    and let it arrive in one. A retry therefore takes the place of a saved one
    until it is known to have arrived.

    Parameters
    ----------
    share
        Arrivals beyond the first as a share of the requests.
    extra
        Further arrivals per window, of all entries together.
    window_s
        Length of the sliding window.
    started_at
        Start of the process; None for the first time that is told.
    """

    share: float
    extra: float
    window_s: float
    started_at: float | None = None
    _entry_share: float | None = field(default=None, init=False)
    _accounts: dict[str, _Account] = field(factory=dict, init=False)

    def on_first(self, service: str, *, now: float) -> None:
        """Count a request."""
        account = self._account(service, now)
        account.firsts.append(now)
        account.earn(self._earned_share(now) * self.share)

    def take(
        self, service: str, *, entry_share: float, now: float
    ) -> RetryPermit | None:
        """Spend one further arrival; None if the budget doesn't allow it.

        ``entry_share`` is this entry's share of the fixed number, 0 to 1.
        """
        if not self.has(service, entry_share=entry_share, now=now):
            return None
        account = self._accounts[service]
        account.earned -= 1
        account.unarrived += 1
        return RetryPermit(service)

    def on_arrived(self, permit: RetryPermit, *, now: float) -> None:
        """Record that a retry arrived, or can't arrive any more."""
        account = self._account(permit.service, now)
        if permit.is_open:
            permit.is_open = False
            account.unarrived -= 1
            account.arrivals.append(now)

    def give_back(self, permit: RetryPermit, *, now: float) -> None:
        """Return a retry that was spent and never sent."""
        account = self._account(permit.service, now)
        if permit.is_open:
            permit.is_open = False
            account.unarrived -= 1
            account.earn(1)

    def has(self, service: str, *, entry_share: float, now: float) -> bool:
        """Return whether one further arrival could be spent."""
        return self.state(service, entry_share=entry_share, now=now).has_retry

    def state(
        self, service: str, *, entry_share: float, now: float
    ) -> BudgetState:
        """Return what was spent in the current window, and what may be."""
        self._entry_share = entry_share
        account = self._account(service, now)
        fixed = self._fixed(now)
        return BudgetState(
            requests=len(account.firsts),
            arrivals=len(account.arrivals),
            unarrived=account.unarrived,
            allowed=SPENT_SHARE * (self.share * len(account.firsts) + fixed),
            earned=account.earned,
        )

    @property
    def _settled_at(self) -> float:
        """Time from which this entry earns its part of the fixed number.

        One that knows no other may be cut off from all of them.
        """
        is_alone = self._entry_share is None or self._entry_share >= 1
        settling_s = self.window_s if is_alone else SETTLING_S
        return (self.started_at or 0) + settling_s

    def _fixed(self, now: float) -> float:
        """Return this entry's part of the fixed number."""
        if self._entry_share is None or now < self._settled_at:
            return 0
        return self.extra * self._entry_share

    def _account(self, service: str, now: float) -> _Account:
        """Return the account of a service, with all that it earned by now."""
        if self.started_at is None:
            self.started_at = now
        account = self._accounts.setdefault(service, _Account(self.started_at))
        account.drop_before(now - self.window_s)
        self._earn_fixed(account, now)
        return account

    def _earned_share(self, now: float) -> float:
        is_new = now - (self.started_at or 0) < self.window_s
        return FIRST_EARNED_SHARE if is_new else 1

    def _earn_fixed(self, account: _Account, now: float) -> None:
        fixed = self._fixed(now)
        window = self.share * len(account.firsts) + fixed
        # A part of a retry can't be spent.
        account.limit = max(SAVED_SHARE * window, 1)
        earning_s = 0.0
        if self._entry_share is not None:
            earning_s = now - max(account.credited_at, self._settled_at)
            account.credited_at = now
        per_s = self._earned_share(now) * fixed / self.window_s
        account.earn(per_s * max(earning_s, 0))
