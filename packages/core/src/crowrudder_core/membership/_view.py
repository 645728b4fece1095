"""The aggregate that combines the published list with peers' own word."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from attrs import define, field, frozen

from crowrudder_core.membership._list import MemberList
from crowrudder_model.messages import ProcessNews

if TYPE_CHECKING:
    from crowrudder_core.membership._list import Members
    from crowrudder_core.membership._word import OwnWord
    from crowrudder_model import Member

FAILURES = 2
"""Failed calls in a row after which a peer is suspected."""

MOST_NEWS = 4096
TELLINGS = 30
"""How often a process passes a piece of news on; enough for thousands."""

NEWS_AT_ONCE = 8
_SEVERITY = {'live': 0, 'suspect': 1, 'leaving': 2}


@frozen(kw_only=True)
class Heard:
    """What a piece of news did here.

    ``is_new`` tells that the picture changed, ``urgent`` that others should
    know at once: one that leaves must get no new work. Suspicions wait for the
    next exchange, as a cut link brings hundreds of them.
    """

    is_new: bool = False
    urgent: bool = False


@define
class _Told:
    news: ProcessNews
    tellings: int = 0


@define
class MembershipView:
    """Who is there, as far as this process can know.

    The published list says who belongs to the fleet; a host that isn't in it
    gets no work. A process's own word, streams and failed calls say sooner
    that a member leaves or may be dead. A suspicion names the life and beat
    that it is about, so that the next word of the process itself ends it.
    """

    own: OwnWord
    published: MemberList = field(factory=MemberList)
    _told: dict[str, _Told] = field(factory=dict)
    _failed: dict[str, int] = field(factory=dict)

    def members(self) -> Members:
        """Give the members, leaving ones marked as such."""
        return tuple(self._corrected(each) for each in self.published.members)

    def suspects(self) -> frozenset[str]:
        """Name the hosts that may be dead: choose others where you can."""
        return frozenset(
            host
            for host, told in self._told.items()
            if told.news.state == 'suspect'
        )

    def on_list(self) -> bool:
        """Hold the own word against a new list; true if it changed."""
        own = next(
            (
                member.rpc_address
                for member in self.published.members
                if member.host == self.own.host
            ),
            '',
        )
        return self.own.on_listed(own)

    def on_news(self, news: ProcessNews) -> Heard:
        """Take a word about a process, its own or a peer's."""
        if news.host == self.own.host:
            before = self.own.state
            changed = self.own.on_heard(news)
            return Heard(is_new=changed, urgent=before != self.own.state)
        known = self._told.get(news.host)
        if known is not None and not _beats(news, known.news):
            return Heard()
        states = {known.news.state if known else 'live', news.state}
        self._tell(news)
        return Heard(
            is_new=len(states) > 1,
            urgent=len(states) > 1 and 'leaving' in states,
        )

    def on_call_answered(self, host: str) -> None:
        """Take note that a host answered a call of this process."""
        self._failed.pop(host, None)

    def on_call_failed(self, host: str) -> Heard:
        """Take note of a failed call; several in a row are a suspicion."""
        failures = self._failed.get(host, 0) + 1
        self._failed[host] = failures
        known = self._told.get(host)
        if failures < FAILURES or (known and known.news.state != 'live'):
            return Heard()
        word = known.news if known else None
        self._tell(
            ProcessNews(
                host=host,
                incarnation=word.incarnation if word else '',
                beat=word.beat if word else 0,
                state='suspect',
            )
        )
        return Heard(is_new=True)

    def to_tell(self, peer: str) -> tuple[ProcessNews, ...]:
        """Choose the news for a message to a peer, and count the telling.

        The peer always hears what is said of itself: it may refute it. The
        rest goes least told first, a bounded number of times each, so that
        the size of messages doesn't follow the size of the fleet.
        """
        about = self._told.get(peer)
        chosen = [about] if about and about.news.state != 'live' else []
        for fresh in self._least_told(NEWS_AT_ONCE - len(chosen), about):
            fresh.tellings += 1
            chosen.append(fresh)
        return tuple(told.news for told in chosen)

    def _least_told(self, count: int, about: _Told | None) -> list[_Told]:
        fresh = (
            told
            for told in self._told.values()
            if told.tellings < TELLINGS and told is not about
        )
        return sorted(fresh, key=lambda told: told.tellings)[:count]

    def _tell(self, news: ProcessNews) -> None:
        self._told.pop(news.host, None)
        self._told[news.host] = _Told(news)
        if len(self._told) > MOST_NEWS:
            self._forget()

    def _forget(self) -> None:
        """Drop the oldest news, of hosts outside the list first."""
        listed = {member.host for member in self.published.members}
        outside = (host for host in self._told if host not in listed)
        del self._told[next(outside, next(iter(self._told)))]

    def _corrected(self, member: Member) -> Member:
        if member.host == self.own.host:
            is_leaving = self.own.state == 'leaving'
        else:
            told = self._told.get(member.host)
            is_leaving = told is not None and told.news.state == 'leaving'
        if not is_leaving or member.state == 'leaving':
            return member
        return attrs.evolve(member, state='leaving')


def _beats(news: ProcessNews, known: ProcessNews) -> bool:
    """Order words about a host: the beat, then the graver one."""
    if news.beat != known.beat:
        return news.beat > known.beat
    return _SEVERITY[news.state] > _SEVERITY[known.state]
