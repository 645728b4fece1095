"""The own word of a process about itself, and who contradicts it."""

from __future__ import annotations

from attrs import define

from crowrudder_model.messages import ProcessNews, ProcessState


@define
class OwnWord:
    """What a process says of itself, stronger than what is said of it.

    Two things go wrong without it. A replaced host whose clock is behind says
    `live` with a lower beat than the last life's `leaving`, and gets no work:
    so a process outbids what it hears of other lives. And a process that was
    frozen while its host was given to a successor wakes up and says that it
    is the host: so it gives way as long as the member list names another
    address than its own. The list decides, not the clocks.
    """

    host: str
    incarnation: str
    address: str
    beat: int
    is_leaving: bool = False
    rival: ProcessNews | None = None
    listed: str = ''

    @property
    def gives_way(self) -> bool:
        """Whether another life of this host has its place."""
        return self.rival is not None and self._is_listed_elsewhere

    @property
    def state(self) -> ProcessState:
        """What this process says that it does."""
        return 'leaving' if self.is_leaving or self.gives_way else 'live'

    @property
    def news(self) -> ProcessNews:
        """Give the word as it is sent.

        One that gives way says nothing against the other life: its word has
        the beat that the other has outbid.
        """
        return ProcessNews(
            host=self.host,
            incarnation=self.incarnation,
            beat=self.beat,
            state=self.state,
        )

    def leave(self) -> None:
        """Say from now on that this process takes no new work."""
        self.is_leaving = True
        self.beat += 1

    def on_listed(self, address: str) -> bool:
        """Take the address that the list has for this host, or none."""
        before = self.news
        self.listed = address
        self._settle_rival()
        return self.news != before

    def on_heard(self, news: ProcessNews) -> bool:
        """Answer what a peer heard of this host; true if the word changed."""
        before = self.news
        if news.beat < self.beat or self._is_agreed(news):
            return False
        if news.incarnation in {self.incarnation, ''}:
            self.beat = news.beat + 1
        else:
            self.rival = news
            self._settle_rival()
        return self.news != before

    @property
    def _is_listed_elsewhere(self) -> bool:
        return self.listed not in {'', self.address}

    def _settle_rival(self) -> None:
        if self.rival is not None and not self._is_listed_elsewhere:
            self.beat = max(self.beat, self.rival.beat) + 1
            self.rival = None

    def _is_agreed(self, news: ProcessNews) -> bool:
        own = (self.incarnation, self.beat, self.state)
        return own == (news.incarnation, news.beat, news.state)
