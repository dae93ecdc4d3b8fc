"""Orders of late answers of the store."""

import asyncio
import unittest
from unittest import mock

from fulmarward_router.ports import RowsRead
from fulmarward_router.state import StoreWatch, _watch
from fulmarward_router.tests._routing_peer import (
    DRAIN_S,
    RoutingPeer,
    make_configuration_row,
    make_target_row,
)

_ROWS = (make_target_row("t1", 2), make_target_row("t2", 3))
_CHANGED = make_target_row("t2", 4)
_LEAVING = make_target_row("t1", 5, is_leaving=True)


class _Ended(Exception):
    """The time of the request has come."""


class _Store:
    """Answers at once, on a link that delays each answer with changes."""

    targets_table = "targets"

    era = None

    def note_era(self, era):
        pass

    def __init__(self, *, delay_s, peer):
        self._delay_s = delay_s
        self._peer = peer
        #: When a target's leaving is acknowledged, and when the request is sent.
        self.left_at = self.ends_at = None

    async def read_table(self, table):
        return RowsRead(rows=_ROWS, version=3)

    async def follow_table(self, table, after, wait_s):
        # Both answers have changes, so the store gives them at once.
        if self.left_at is None:
            # The target leaves just after this answer was given.
            self.left_at = self._peer.now
            self.ends_at = self.left_at + DRAIN_S + 0.05
            await self.pass_time(self._delay_s)
            return RowsRead(rows=(_CHANGED,), version=4)
        await self.pass_time(self._delay_s)
        return RowsRead(rows=(_LEAVING,) if after < 5 else (), version=5)

    async def pass_time(self, duration_s):
        self._peer.now += duration_s
        if self.ends_at is not None and self._peer.now >= self.ends_at:
            self._peer.now = self.ends_at
            raise _Ended

    def decode_target(self, row):
        return self._peer._decode_row(row, now=self._peer.now).record


class LateTargetsTest(unittest.TestCase):
    def request_after_leaving(self, *, delay_s):
        """Return the targets reached 3 s after a leaving, with answers that late."""
        peer = RoutingPeer("peer")
        peer.read_configuration(make_configuration_row(1))
        store = _Store(delay_s=delay_s, peer=peer)
        watch = StoreWatch(
            store=store,
            configuration=peer.configuration,
            catalogue=peer.catalogue,
            read_clock=lambda: peer.now,
            notify_peers=lambda: None,
            handle_target_changes=lambda rows: None,
            is_among_first=lambda count: True,
            is_large=lambda: False,
            read_heartbeat_interval_s=lambda: 0.3,
        )
        with mock.patch.object(_watch.asyncio, "sleep", store.pass_time):
            with self.assertRaises(_Ended):
                asyncio.run(watch.follow_targets())
        return peer.request("/v1/x")[1]

    def test_target_that_left_gets_nothing_if_answers_are_half_a_second_late(self):
        """An answer, a leaving, each answer 0.5 s late, a request 3 s later."""
        self.assertNotIn("t1", self.request_after_leaving(delay_s=0.5))

    def test_target_that_left_gets_nothing_if_answers_are_late(self):
        """An answer, a leaving, each answer 1.4 s late, a request 3 s later."""
        self.assertNotIn("t1", self.request_after_leaving(delay_s=1.4))
