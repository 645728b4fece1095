"""The published list: stale reads, rebuilds and deltas."""

from __future__ import annotations

import pytest

from crowrudder_core.membership import DeltaError, MemberList
from crowrudder_model.messages import MemberListDelta, MemberListEdition
from support.bundles import fleet, member

OLD = fleet(3)
NEW = fleet(4)


def list_after(*steps: tuple[tuple, int, float]) -> MemberList:
    member_list = MemberList()
    for members, revision, now in steps:
        member_list.on_platform(members, revision, now)
    return member_list


class TestRevisions:
    def test_newer_list_is_applied(self) -> None:
        assert list_after((OLD, 1, 0), (NEW, 2, 1)).members == NEW

    def test_stale_read_restores_no_member(self) -> None:
        """A replica of the platform lags; the next read is current again."""
        member_list = list_after(
            (NEW, 9, 0), (OLD, 8, 1), (NEW, 9, 12), (OLD, 8, 13)
        )
        assert member_list.members == NEW
        assert member_list.edition.epoch == 0

    def test_rebuilt_platform_is_followed_after_confirmation(self) -> None:
        """Guards against a fleet that keeps the members from before a rebuild."""
        member_list = list_after((OLD, 900, 0), (NEW, 1, 1))
        assert not member_list.on_unchanged(5)
        assert member_list.members == OLD
        assert member_list.on_unchanged(11)
        assert member_list.members == NEW
        member_list.on_platform(OLD, 2, 12)
        assert member_list.edition == MemberListEdition(
            epoch=1, revision=2, digest=member_list.edition.digest
        )

    def test_first_list_may_have_any_revision(self) -> None:
        assert list_after((OLD, 0, 0)).members == OLD

    def test_same_revision_with_other_members_is_a_rebuild(self) -> None:
        member_list = list_after((OLD, 7, 0), (NEW, 7, 1), (NEW, 7, 12))
        assert member_list.members == NEW

    def test_list_after_the_rebuild_supersedes_one_before(self) -> None:
        before = list_after((OLD, 900, 0))
        after = list_after((OLD, 900, 0), (NEW, 1, 1), (NEW, 1, 12))
        assert before.offer(after.edition, after.members)
        assert not after.offer(MemberListEdition(epoch=0, revision=901), OLD)


class TestDeltas:
    def test_leads_to_the_same_list(self) -> None:
        sender = list_after((OLD, 1, 0), (NEW[1:], 2, 1))
        receiver = list_after((OLD, 1, 0))
        delta = sender.delta_from(receiver.edition.digest)
        assert delta is not None
        assert delta == MemberListDelta(put=NEW[3:], dropped=(NEW[0].host,))
        members = receiver.applied(
            delta, base=receiver.edition.digest, edition=sender.edition
        )
        assert members == sender.members

    def test_unknown_base_yields_no_delta(self) -> None:
        assert list_after((OLD, 1, 0)).delta_from('other') is None

    def test_delta_against_another_list_is_rejected(self) -> None:
        sender = list_after((OLD, 1, 0), (NEW, 2, 1))
        delta = sender.delta_from(list_after((OLD, 1, 0)).edition.digest)
        assert delta is not None
        with pytest.raises(DeltaError):
            list_after((OLD[1:], 1, 0)).applied(
                delta, base='other', edition=sender.edition
            )

    def test_old_lists_are_evicted(self) -> None:
        member_list = MemberList()
        for revision in range(40):
            member_list.on_platform((member(f'host-{revision}'),), revision, 0)
        first = list_after(((member('host-0'),), 0, 0))
        assert member_list.delta_from(first.edition.digest) is None
