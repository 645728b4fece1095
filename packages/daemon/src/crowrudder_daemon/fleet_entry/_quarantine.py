"""Keep requests from upstreams that end under them, with all other entries."""

from __future__ import annotations

import random
from collections import defaultdict
from typing import TYPE_CHECKING, Protocol

from crowrudder_core.quarantine import (
    Audience,
    Convicted,
    Quarantine,
    Tell,
    digest_text,
    owners,
)
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon._ticks import sleep_to_tick
from crowrudder_model.messages import SuspectNews

if TYPE_CHECKING:
    from collections.abc import Iterable

    from crowrudder_core.quarantine import Effect
    from crowrudder_daemon.fleet import PeersTask
    from crowrudder_daemon.process import Runtime
    from crowrudder_model.messages import SuspectWord

REMIND_EVERY_S = 1.0
"""Between two reminders to one other entry of what all are to know."""

MOST_LOGGED = 16
"""Digests in one log line."""


class UnderWay(Protocol):
    """A request that may be at an upstream."""

    digest: int

    def on_convicted(self) -> None:
        """Take note that it is to be sent to no upstream any more."""


class RequestQuarantine:
    """Tells the aggregate what happens here, and carries out what follows."""

    def __init__(self, runtime: Runtime, peers: PeersTask) -> None:
        self._runtime = runtime
        self._peers = peers
        self._random = random.Random(runtime.incarnation)
        self._core = Quarantine()
        self._under_way: defaultdict[int, set[UnderWay]] = defaultdict(set)
        metrics = runtime.metrics
        self._ends = metrics.counter(
            'quarantine_upstream_ends',
            'Upstreams that ended while they had requests of this entry.',
        )
        self._convicted = metrics.counter(
            'quarantine_verdicts',
            'Requests that are sent to no upstream any more.',
        )
        self._refused = metrics.counter(
            'quarantine_refusals',
            'Arrivals of such requests that were refused.',
        )

    def enter(self, request: UnderWay) -> None:
        """Take a request that is under way from now on."""
        self._under_way[request.digest].add(request)

    def leave(self, request: UnderWay) -> None:
        """Forget a request that has its final answer."""
        same = self._under_way[request.digest]
        same.discard(request)
        if not same:
            del self._under_way[request.digest]

    def is_convicted(self, digest: int) -> bool:
        """Whether a request is to be sent to no upstream any more."""
        return self._core.is_convicted(digest, now=clock_s())

    def refuse(self, digest: int) -> str:
        """Count a refusal; give its reason."""
        now = clock_s()
        self._refused.add()
        self._core.on_refused(digest, now=now)
        lives = ', '.join(self._core.lives_under(digest, now=now))
        return f'upstreams ended under this request: {lives}'

    def may_send_again(self, digest: int) -> bool:
        """Whether another upstream may be tried after a break."""
        return self._core.may_send_again(digest, now=clock_s())

    def on_broken(
        self, digest: int, lives: Iterable[str], *, ran_s: float
    ) -> None:
        """Take a run whose connection was closed by its upstream."""
        self._core.on_broken(digest, lives, ran_s=ran_s, now=clock_s())

    def on_life_sound(self, life: str, *, age_s: float) -> None:
        """Take that an upstream was there so long ago."""
        self._core.on_sound(life, as_of=clock_s() - age_s)

    def on_life_ended(self, life: str) -> None:
        """Take that an upstream's life ended."""
        effects = self._core.on_ended(life, now=clock_s())
        if not effects:
            return
        self._ends.add()
        digests = [
            digest_text(effect.word.digest)
            for effect in effects
            if isinstance(effect, Tell)
        ]
        self._runtime.log.info(
            'upstream ended under requests',
            extra={
                'step': 'quarantine',
                'upstream': life,
                'requests': len(digests),
                'digests': digests[:MOST_LOGGED],
            },
        )
        self._carry_out(effects)

    def on_whole(self, digest: int) -> None:
        """Take that a run ended whole."""
        effects = self._core.on_whole(digest, now=clock_s())
        if effects:
            self._runtime.log.info(
                'request ran whole and is cleared',
                extra={'step': 'quarantine', 'digest': digest_text(digest)},
            )
            self._carry_out(effects)

    def on_news(self, ip: str, news: SuspectNews) -> None:
        """Take what another entry tells of some requests."""
        if not self._peers.roster.knows(ip, now=clock_s()):
            self._runtime.log.debug(
                'word on suspects from an unknown host',
                extra={'step': 'quarantine', 'peer': ip},
            )
            return
        self._carry_out(self._core.on_news(news, now=clock_s()))

    async def remind_for_ever(self) -> None:
        """Tell entries that have started or missed it what all are to know."""
        while True:
            await sleep_to_tick(REMIND_EVERY_S)
            words = self._core.reminder(self._random, now=clock_s())
            others = self._others()
            if words and others:
                self._tell(words, [self._random.choice(others)])

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Tell(word=word, audience=Audience.PARTNERS):
                    self._peers.tell_partners(SuspectNews((word,)))
                case Tell(word=word):
                    ips = owners(word.digest, self._entry_ips())
                    self._tell([word], self._without_own(ips))
                case Convicted(digest=digest, lives=lives):
                    self._on_convicted(digest, lives)

    def _on_convicted(self, digest: int, lives: tuple[str, ...]) -> None:
        self._convicted.add()
        same = tuple(self._under_way.get(digest, ()))
        self._runtime.log.warning(
            'request quarantined',
            extra={
                'step': 'quarantine',
                'digest': digest_text(digest),
                'upstreams': list(lives),
                'under_way': len(same),
            },
        )
        for request in same:
            request.on_convicted()

    def _tell(self, words: list[SuspectWord], ips: list[str]) -> None:
        if ips:
            self._peers.tell(SuspectNews(tuple(words)), ips)

    def _entry_ips(self) -> list[str]:
        return [word.ip for word in self._peers.entries()]

    def _others(self) -> list[str]:
        return self._without_own(self._entry_ips())

    def _without_own(self, ips: list[str]) -> list[str]:
        own = self._peers.roster.own.ip
        return [ip for ip in ips if ip != own]
