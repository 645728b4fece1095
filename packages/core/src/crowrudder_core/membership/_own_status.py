"""The status of this process, and conflicts with another incarnation."""

from __future__ import annotations

from attrs import define

from crowrudder_model.messages import ProcessState, ProcessStatus


@define
class OwnStatus:
    """Status of this process, which overrides what peers report of it.

    It prevents two faults. A replaced host whose clock is behind reports `live`
    with a lower sequence number than the `leaving` of the previous incarnation,
    and gets no work; a process therefore exceeds the sequence number that it
    receives of other incarnations. A process that was paused while its host was
    assigned to a successor resumes and claims to be the host; it therefore
    yields as long as the member list names another address than its own. The
    list decides, not the clocks.
    """

    host: str
    incarnation: str
    address: str
    beat: int
    is_leaving: bool = False
    rival_status: ProcessStatus | None = None
    listed_address: str = ''

    @property
    def has_yielded(self) -> bool:
        """Whether this process yields to another incarnation of its host."""
        return self.rival_status is not None and self._is_listed_elsewhere

    @property
    def state(self) -> ProcessState:
        """State that this process reports."""
        return 'leaving' if self.is_leaving or self.has_yielded else 'live'

    @property
    def news(self) -> ProcessStatus:
        """Status as it is sent.

        A process that yields doesn't contradict the other incarnation: its
        sequence number is one that the other has exceeded.
        """
        return ProcessStatus(
            host=self.host,
            incarnation=self.incarnation,
            beat=self.beat,
            state=self.state,
        )

    def leave(self) -> None:
        """Report from now on that this process accepts no new work."""
        self.is_leaving = True
        self.beat += 1

    def on_address_listed(self, address: str) -> bool:
        """Apply the listed address of this host, empty if it isn't listed.

        Return whether the status changed.
        """
        before = self.news
        self.listed_address = address
        self._resolve_rival()
        return self.news != before

    def on_status_received(self, status: ProcessStatus) -> bool:
        """Apply a peer's status of this host; return whether `news` changed."""
        before = self.news
        if status.beat < self.beat or self._matches_own(status):
            return False
        if status.incarnation in {self.incarnation, ''}:
            self.beat = status.beat + 1
        else:
            self.rival_status = status
            self._resolve_rival()
        return self.news != before

    @property
    def _is_listed_elsewhere(self) -> bool:
        return self.listed_address not in {'', self.address}

    def _resolve_rival(self) -> None:
        if self.rival_status is not None and not self._is_listed_elsewhere:
            self.beat = max(self.beat, self.rival_status.beat) + 1
            self.rival_status = None

    def _matches_own(self, status: ProcessStatus) -> bool:
        own = (self.incarnation, self.beat, self.state)
        return own == (status.incarnation, status.beat, status.state)
