"""The published list: lagging both ways, rebuilt, and sent as changes."""

from __future__ import annotations

import pytest

from crowrudder_core.membership import DeltaError, MemberList
from crowrudder_model.messages import ListEdition, MembersDelta
from support.bundles import fleet, member

OLD = fleet(3)
NEW = fleet(4)


def listed(*steps: tuple[tuple, int, float]) -> MemberList:
    found = MemberList()
    for members, revision, now in steps:
        found.on_platform(members, revision, now)
    return found


class TestRevisions:
    def test_newer_is_taken(self) -> None:
        assert listed((OLD, 1, 0), (NEW, 2, 1)).members == NEW

    def test_stale_read_brings_nobody_back(self) -> None:
        """A replica of the platform lags; the next read is right again."""
        found = listed((NEW, 9, 0), (OLD, 8, 1), (NEW, 9, 12), (OLD, 8, 13))
        assert found.members == NEW
        assert found.edition.epoch == 0

    def test_rebuilt_platform_is_followed_after_a_while(self) -> None:
        """Symptom: the fleet keeps the members of the day of a rebuild."""
        found = listed((OLD, 900, 0), (NEW, 1, 1))
        assert not found.on_same(5)
        assert found.members == OLD
        assert found.on_same(11)
        assert found.members == NEW
        found.on_platform(OLD, 2, 12)
        assert found.edition == ListEdition(
            epoch=1, revision=2, digest=found.edition.digest
        )

    def test_first_list_may_have_any_revision(self) -> None:
        assert listed((OLD, 0, 0)).members == OLD

    def test_same_revision_with_other_members_is_a_rebuild(self) -> None:
        found = listed((OLD, 7, 0), (NEW, 7, 1), (NEW, 7, 12))
        assert found.members == NEW

    def test_peer_after_the_rebuild_beats_one_before(self) -> None:
        before = listed((OLD, 900, 0))
        after = listed((OLD, 900, 0), (NEW, 1, 1), (NEW, 1, 12))
        assert before.offer(after.edition, after.members)
        assert not after.offer(ListEdition(epoch=0, revision=901), OLD)


class TestDeltas:
    def test_leads_to_the_same_list(self) -> None:
        giver = listed((OLD, 1, 0), (NEW[1:], 2, 1))
        taker = listed((OLD, 1, 0))
        delta = giver.delta_from(taker.edition.digest)
        assert delta is not None
        assert delta == MembersDelta(put=NEW[3:], dropped=(NEW[0].host,))
        members = taker.applied(
            delta, base=taker.edition.digest, edition=giver.edition
        )
        assert members == giver.members

    def test_unknown_base_gives_no_delta(self) -> None:
        assert listed((OLD, 1, 0)).delta_from('other') is None

    def test_delta_against_another_list_is_refused(self) -> None:
        giver = listed((OLD, 1, 0), (NEW, 2, 1))
        delta = giver.delta_from(listed((OLD, 1, 0)).edition.digest)
        assert delta is not None
        with pytest.raises(DeltaError):
            listed((OLD[1:], 1, 0)).applied(
                delta, base='other', edition=giver.edition
            )

    def test_old_lists_are_forgotten(self) -> None:
        found = MemberList()
        for revision in range(40):
            found.on_platform((member(f'host-{revision}'),), revision, 0)
        first = listed(((member('host-0'),), 0, 0))
        assert found.delta_from(first.edition.digest) is None
