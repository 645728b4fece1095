"""Read the statements in the answers on the connection of an attempt."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from attrs import define, field

from crowrudder_core.statements import IncarnationKey
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet_entry._statement_log import AnswerSource
from crowrudder_model.fleet import NO_STATEMENTS

if TYPE_CHECKING:
    from crowrudder_daemon.fleet.ports import CallerProtocol, ResponseMetadata
    from crowrudder_daemon.fleet_entry._statements import EntryStatements
    from crowrudder_daemon.http import HttpConnection, WireHead
    from crowrudder_model.fleet import Upstream, UpstreamStatements


@define(kw_only=True, eq=False)
class StatementReader:
    """Records the statements of each head with the incarnation that gave it.

    An answer to an earlier request may arrive late, on a connection that has
    been used for another incarnation before, and an address may have a new
    upstream that refuses a request for the previous one. Neither says anything
    about the upstream to which the request was sent.
    """

    _statements: EntryStatements
    _dialect: CallerProtocol
    _request_id: str
    stated: UpstreamStatements = field(default=NO_STATEMENTS, init=False)
    """The statements of the answer to this request."""

    _upstream: Upstream | None = field(default=None, init=False)
    _incarnation: IncarnationKey | None = field(default=None, init=False)
    _earlier: IncarnationKey | None = field(default=None, init=False)
    _sent_at: float = field(default=0, init=False)
    _has_own_head: bool = field(default=False, init=False)

    def on_sent(self, conn: HttpConnection, upstream: Upstream) -> None:
        """Record that the request was sent to an upstream."""
        self._upstream = upstream
        self._incarnation = self._statements.key_of(upstream.id)
        if isinstance(conn.context, IncarnationKey):
            self._earlier = conn.context
        conn.context = self._incarnation
        self._sent_at = clock_s()

    def read(self, head: WireHead) -> ResponseMetadata:
        """Record the statements of a head and return its metadata."""
        metadata = self._dialect.response_metadata(head)
        is_own = self.is_own(metadata)
        if is_own:
            self._has_own_head = True
            self.stated = metadata.statements
            self._check_misdirected(head, metadata)
        key = self._giver(head, metadata, is_own=is_own)
        states_nothing = metadata.statements == NO_STATEMENTS
        # An answer to this request that states no limit ends an earlier one.
        if not states_nothing or (is_own and key is not None):
            self._record(head, metadata, key)
        return metadata

    def read_received(self, conn: HttpConnection) -> None:
        """Record the statements of a head that arrived and nobody waits for.

        The caller may leave, or a timeout may expire, at the moment at which the
        answer arrives.
        """
        if self._incarnation is None or self._has_own_head:
            return
        head = conn.received_head()
        if head is not None:
            self.read(head)

    def is_own(self, metadata: ResponseMetadata) -> bool:
        """Return whether an answer is to this request."""
        return not self._request_id or metadata.request_id in {
            '',
            self._request_id,
        }

    def _check_misdirected(
        self, head: WireHead, metadata: ResponseMetadata
    ) -> None:
        """Record a refusal by another upstream at the address."""
        key, upstream = self._incarnation, self._upstream
        if key is None or upstream is None:
            return
        # A later stage of a pipeline may be the one that refuses.
        blames_stage = bool(metadata.at_fault) and not _is_named(
            upstream, metadata.at_fault
        )
        if (
            head.status == HTTPStatus.MISDIRECTED_REQUEST
            and metadata.answered_by not in {'', upstream.id}
            and not blames_stage
        ):
            source = self._source(head, metadata, key)
            self._statements.on_misdirected(key, source)

    def _record(
        self,
        head: WireHead,
        metadata: ResponseMetadata,
        key: IncarnationKey | None,
    ) -> None:
        source = self._source(head, metadata, key)
        self._statements.on_answer(key, source, metadata.statements)

    def _source(
        self,
        head: WireHead,
        metadata: ResponseMetadata,
        key: IncarnationKey | None,
    ) -> AnswerSource:
        return AnswerSource(
            upstream_id=key.upstream_id if key else '',
            request_id=metadata.request_id or self._request_id,
            status=head.status,
            age_s=clock_s() - self._sent_at,
        )

    def _giver(
        self, head: WireHead, metadata: ResponseMetadata, *, is_own: bool
    ) -> IncarnationKey | None:
        """Return the incarnation that gave an answer, None if unknown."""
        upstream = self._upstream
        if upstream is None:
            return None
        if metadata.answered_by not in {'', upstream.id}:
            return self._statements.key_of(metadata.answered_by)
        if not is_own:
            return self._earlier or self._incarnation
        is_misdirected = head.status == HTTPStatus.MISDIRECTED_REQUEST
        names_itself = metadata.answered_by == upstream.id or _is_named(
            upstream, metadata.at_fault
        )
        if is_misdirected and not names_itself:
            return None
        return self._incarnation


def _is_named(upstream: Upstream, text: str) -> bool:
    """Return whether a text is the id or the address of an upstream."""
    return text in {upstream.id, upstream.address}
