"""Read and watch the platform; every call is counted."""

from __future__ import annotations

import enum
import re
from typing import TYPE_CHECKING

from attrs import frozen

from crowrudder_daemon.fetch import Fetcher
from crowrudder_model import (
    Member,
    MembersError,
    UpstreamError,
    decode_members,
)

if TYPE_CHECKING:
    from crowrudder_daemon.fetch import Answer
    from crowrudder_daemon.process import Runtime

WATCH_S = 6
"""How long a watch waits; its end is the sign that the platform answers."""

ANSWER_S = 5.0
HTTP_OK = 200
HTTP_SAME = 204
HTTP_NONE = 404

_REVISION = re.compile('[0-9]{1,18}')


class Source(enum.Enum):
    """What the platform has."""

    BUNDLE = '/v1/config/bundle'
    MEMBERS = '/v1/members'


@frozen
class BundleRead:
    """The value that the platform has as the bundle."""

    payload: bytes
    revision: int


@frozen
class MembersRead:
    """The member list that the platform has."""

    members: tuple[Member, ...]
    revision: int


@frozen
class NothingNew:
    """The platform answered that it has nothing, or nothing new."""

    source: Source


@frozen
class ReadFailed:
    """The platform gave no answer that can be used."""

    source: Source
    reason: str


PlatformWord = BundleRead | MembersRead | NothingNew | ReadFailed


class PlatformClient:
    """Calls to the platform, one at a time for each source."""

    def __init__(self, runtime: Runtime) -> None:
        self._fetcher = Fetcher(runtime.cfg.platform.address)
        self._revisions = dict.fromkeys(Source, -1)
        self._calls = runtime.metrics.counter(
            'platform_calls',
            'Calls to the platform; a waiting watch is one.',
            labels=('source',),
        )

    async def read(self, source: Source, *, watch: bool) -> PlatformWord:
        """Read a source, or wait until it changes.

        Parameters
        ----------
        watch
            Wait for another revision than the one last read.
        """
        revision = self._revisions[source]
        query = f'?after={revision}' if revision >= 0 else ''
        if watch and query:
            query = f'{query}&wait={WATCH_S}'
        self._calls.add(source=source.name.lower())
        try:
            answer = await self._fetcher.fetch(
                source.value + query,
                timeout_s=WATCH_S + ANSWER_S if watch else ANSWER_S,
            )
        except UpstreamError as exc:
            return ReadFailed(source, str(exc))
        return self._word(source, answer)

    def close(self) -> None:
        """Drop the connections; a waiting watch ends."""
        self._fetcher.close()

    def _word(self, source: Source, answer: Answer) -> PlatformWord:
        if answer.status in {HTTP_SAME, HTTP_NONE}:
            return NothingNew(source)
        if answer.status != HTTP_OK:
            return ReadFailed(source, f'answered {answer.status}')
        if source is Source.BUNDLE:
            return self._bundle(answer)
        try:
            revision, members = decode_members(answer.body)
        except MembersError as exc:
            return ReadFailed(source, str(exc))
        self._revisions[source] = revision
        return MembersRead(members, revision)

    def _bundle(self, answer: Answer) -> PlatformWord:
        text = answer.header('X-Revision')
        if not _REVISION.fullmatch(text):
            return ReadFailed(Source.BUNDLE, f'X-Revision is {text[:20]!r}')
        revision = int(text)
        self._revisions[Source.BUNDLE] = revision
        return BundleRead(answer.body, revision)
