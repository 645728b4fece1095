"""Client that reads and watches the platform and counts its calls."""

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

WATCH_WAIT_S = 6
"""How long a watch waits. Its empty answer confirms that the platform works."""

ANSWER_TIMEOUT_S = 5.0
HTTP_OK = 200
HTTP_NO_CONTENT = 204
HTTP_NOT_FOUND = 404

_REVISION = re.compile('[0-9]{1,18}')


class Source(enum.Enum):
    """A resource of the platform."""

    BUNDLE = '/v1/config/bundle'
    MEMBERS = '/v1/members'


@frozen
class BundleRead:
    """The platform's bundle."""

    payload: bytes
    revision: int


@frozen
class MembersRead:
    """The platform's member list."""

    members: tuple[Member, ...]
    revision: int


@frozen
class NothingNew:
    """The platform answered that it has no value or no new one."""

    source: Source


@frozen
class ReadFailed:
    """The platform gave no valid answer."""

    source: Source
    reason: str


ReadResult = BundleRead | MembersRead | NothingNew | ReadFailed


class PlatformClient:
    """Calls to the platform, at most one at a time per source."""

    def __init__(self, runtime: Runtime) -> None:
        self._fetcher = Fetcher(runtime.cfg.platform.address)
        self._revisions = dict.fromkeys(Source, -1)
        self._calls = runtime.metrics.counter(
            'platform_calls',
            'Calls to the platform; a waiting watch is one.',
            labels=('source',),
        )

    async def read(self, source: Source, *, watch: bool) -> ReadResult:
        """Read a source, or wait until it changes.

        Parameters
        ----------
        watch
            Wait for a revision other than the one last read.
        """
        revision = self._revisions[source]
        query = f'?after={revision}' if revision >= 0 else ''
        if watch and query:
            query = f'{query}&wait={WATCH_WAIT_S}'
        self._calls.add(source=source.name.lower())
        try:
            answer = await self._fetcher.fetch(
                source.value + query,
                timeout_s=WATCH_WAIT_S + ANSWER_TIMEOUT_S
                if watch
                else ANSWER_TIMEOUT_S,
            )
        except UpstreamError as exc:
            return ReadFailed(source, str(exc))
        return self._parse_answer(source, answer)

    def close(self) -> None:
        """Close the connections; a waiting watch ends."""
        self._fetcher.close()

    def _parse_answer(self, source: Source, answer: Answer) -> ReadResult:
        if answer.status in {HTTP_NO_CONTENT, HTTP_NOT_FOUND}:
            return NothingNew(source)
        if answer.status != HTTP_OK:
            return ReadFailed(source, f'answered {answer.status}')
        if source is Source.BUNDLE:
            return self._parse_bundle(answer)
        try:
            revision, members = decode_members(answer.body)
        except MembersError as exc:
            return ReadFailed(source, str(exc))
        self._revisions[source] = revision
        return MembersRead(members, revision)

    def _parse_bundle(self, answer: Answer) -> ReadResult:
        text = answer.header('X-Revision')
        if not _REVISION.fullmatch(text):
            return ReadFailed(Source.BUNDLE, f'X-Revision is {text[:20]!r}')
        revision = int(text)
        self._revisions[Source.BUNDLE] = revision
        return BundleRead(answer.body, revision)
