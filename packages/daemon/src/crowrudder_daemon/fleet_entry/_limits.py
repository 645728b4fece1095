"""Keep the limits that upstreams name, together with all other entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from crowrudder_core.limits import NamedLimits, senders_of
from crowrudder_core.membership import split_by_region
from crowrudder_daemon._clock import clock_s
from crowrudder_model.messages import LimitNews

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from crowrudder_daemon.fleet import PeersTask
    from crowrudder_daemon.process import Runtime
    from crowrudder_model.messages import LimitWord

SENDERS_STAND_S = 0.25
"""How long it stands who sends to a limited upstream: working it out takes as
long as there are entries."""

MOST_WORDS = 16
"""Words of a datagram that are read."""


class UpstreamLimits:
    """Limits by upstream, and the words on them between entries.

    Parameters
    ----------
    region_of
        Gives the region of an upstream by its id.
    """

    def __init__(
        self,
        runtime: Runtime,
        peers: PeersTask,
        region_of: Callable[[str], str],
    ) -> None:
        self._runtime = runtime
        self._peers = peers
        self._region_of = region_of
        self._limits = NamedLimits(self._part_of)
        self._parts: dict[str, tuple[float, float, float]] = {}
        self._kept = runtime.metrics.counter(
            'upstream_limits_kept',
            'Sends that went elsewhere as an upstream had named a limit.',
        )

    def on_answer(self, upstream_id: str, per_s: float | None) -> None:
        """Take what an upstream's answer says of its limit."""
        word = self._limits.on_answer(upstream_id, per_s, now=clock_s())
        if word is not None:
            self._log(word, self._peers.roster.own.ip)
            self._peers.tell_partners(LimitNews((word,)))

    def on_news(self, ip: str, news: LimitNews) -> None:
        """Take what another entry heard."""
        if not self._peers.roster.knows(ip, now=clock_s()):
            self._runtime.log.debug(
                'word on limits from an unknown host',
                extra={'step': 'limit', 'peer': ip},
            )
            return
        for word in news.words[:MOST_WORDS]:
            if self._limits.on_word(word, now=clock_s()) is not None:
                self._log(word, ip)
                self._peers.tell_partners(LimitNews((word,)))

    def has_room(self, upstream_id: str) -> bool:
        """Whether a request may be sent to an upstream now."""
        return self._limits.has_room(upstream_id, now=clock_s())

    def take(self, upstream_id: str) -> bool:
        """Spend a request, if there is a limit and it allows one."""
        if self._limits.take(upstream_id, now=clock_s()):
            return True
        self._kept.add()
        return False

    def wait_s(self, upstream_ids: Iterable[str]) -> float:
        """Give the seconds until a limit lets a request pass from here."""
        return self._limits.wait_s(upstream_ids, now=clock_s())

    def on_gone(self, upstream_id: str) -> None:
        """Forget an upstream whose life has ended."""
        self._limits.on_gone(upstream_id)
        self._parts.pop(upstream_id, None)

    def _part_of(self, upstream_id: str, per_s: float) -> float:
        now = clock_s()
        known = self._parts.get(upstream_id)
        if known is not None:
            part, for_per_s, at = known
            if for_per_s == per_s and now - at < SENDERS_STAND_S:
                return part
        part = self._work_out(upstream_id, per_s)
        self._parts[upstream_id] = (part, per_s, now)
        return part

    def _work_out(self, upstream_id: str, per_s: float) -> float:
        near, far = split_by_region(
            self._peers.entries(), self._region_of(upstream_id)
        )
        senders = senders_of(upstream_id, per_s, near, far)
        is_sender = self._peers.roster.own.ip in senders
        return 1 / len(senders) if is_sender else 0

    def _log(self, word: LimitWord, teller: str) -> None:
        self._runtime.log.info(
            'limit of an upstream',
            extra={
                'step': 'limit',
                'upstream': word.upstream_id,
                'per_s': word.per_s,
                'teller': teller,
                'age_s': word.age_ms / 1000,
            },
        )
