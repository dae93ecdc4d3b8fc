import unittest

from hypothesis import given, strategies as st

from fulmarward_core.configuration import (
    EMPTY_HEAD,
    Adoption,
    Head,
    decide_adoption,
)


def _make_head(epoch):
    return Head(
        epoch=epoch,
        content_hash=f"h{epoch}",
        apply_id=f"a{epoch}",
        applied_by="op",
        applied_at=0.0,
    )


class DecideAdoptionTest(unittest.TestCase):
    @given(st.lists(st.integers(min_value=1, max_value=20)))
    def test_epoch_in_force_never_decreases(self, offered):
        # Peers that were partitioned or paused offer stale heads in any order. The
        # epoch in force never decreases and ends at the highest one offered.
        current = EMPTY_HEAD
        for epoch in offered:
            head = _make_head(epoch)
            before = current.epoch
            if decide_adoption(current=current, offered=head) is Adoption.ADOPT:
                current = head
            self.assertGreaterEqual(current.epoch, before)
        self.assertEqual(current.epoch, max(offered, default=0))

    def test_same_epoch_with_different_content_is_a_conflict(self):
        other = Head(
            epoch=3, content_hash="x", apply_id="b", applied_by="op", applied_at=0.0
        )
        decision = decide_adoption(current=_make_head(3), offered=other)
        self.assertIs(decision, Adoption.CONFLICT)
