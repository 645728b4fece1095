"""The aggregate that combines the published list with peers' own word."""

from __future__ import annotations

import attrs
from attrs import define, field

from crowrudder_model import Member
from crowrudder_model.messages import ProcessNews


@define
class MembershipView:
    """Published members, corrected by what processes say of themselves."""

    published: tuple[Member, ...] = ()
    revision: int = 0
    news: dict[str, ProcessNews] = field(factory=dict)

    def on_published(self, members: tuple[Member, ...], revision: int) -> None:
        """Take the platform's list."""
        self.published = members
        self.revision = revision

    def on_news(self, news: ProcessNews) -> bool:
        """Take a process's own word; true when it was new."""
        known = self.news.get(news.host)
        if known is not None and not _is_newer(news, known):
            return False
        self.news[news.host] = news
        return True

    def members(self) -> tuple[Member, ...]:
        """Give the members, leaving ones marked as such."""
        return tuple(self._corrected(member) for member in self.published)

    def _corrected(self, member: Member) -> Member:
        news = self.news.get(member.host)
        if news is None or not news.leaving:
            return member
        return attrs.evolve(member, state='leaving')


def _is_newer(news: ProcessNews, known: ProcessNews) -> bool:
    if news.incarnation != known.incarnation:
        return True
    return news.beat > known.beat
