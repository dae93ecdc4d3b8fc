import asyncio
import unittest
from unittest import mock

from fulmarward_core.fleet import TargetRecord
from fulmarward_router.ports import Row, RowsRead, StoreRefused
from fulmarward_router.state import StoreWatch, TargetChangeHandler
from fulmarward_router.state._watch import (
    MAX_FOLLOWER_RETRY_INTERVAL_S,
    MAX_RETRY_INTERVAL_S,
    TARGETS_WAIT_S,
)
from fulmarward_router.tests.test_instance_state import Peer

#: Seconds for which a saturated link delays an answer of the store.
_DELAY_S = 2.5

#: Age in milliseconds from which on a peer doubts that it knows all leaving targets.
_OLD_MS = 1200


class _Store:
    """A store without changes whose answers arrive `delay_s` late."""

    targets_table = "targets"
    era = None

    def note_era(self, era):
        pass

    def __init__(self, peer):
        self._peer = peer
        self.delay_s = 0.0
        self.is_out = False
        #: Seconds for which each call would wait for changes.
        self.waits = []

    async def read_table(self, table):
        return RowsRead(rows=(), version=5)

    async def follow_table(self, table, after, wait_s):
        self.waits.append(wait_s)
        if self.is_out:
            raise StoreRefused("out")
        self._peer.now += wait_s + self.delay_s
        return RowsRead(rows=(), version=after)


class TargetsReadTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.peer = Peer("one")
        self.store = _Store(self.peer)

    def make_watch(self, *, is_large=False, is_reader=True):
        return StoreWatch(
            store=self.store,
            configuration=self.peer.configuration,
            catalogue=self.peer.catalogue,
            read_clock=lambda: self.peer.now,
            notify_peers=lambda: None,
            handle_target_changes=lambda rows: None,
            is_among_first=lambda count: is_reader,
            is_large=lambda: is_large,
            read_heartbeat_interval_s=lambda: 0.3,
        )

    async def read_changes(self, *, aged_s=0.0):
        """Read the whole table and, `aged_s` later, its changes."""
        watch = self.make_watch()
        await watch._read_all()
        self.peer.now += aged_s
        await watch._read_changes()

    async def test_peers_learn_the_age_of_targets_read_through_a_saturated_link(self):
        """Guards against a list that counts as new because its answer was delayed."""
        self.store.delay_s = _DELAY_S
        await self.read_changes()
        heartbeat = self.peer.instance_state.make_heartbeat()
        self.assertGreater(heartbeat.targets_age_ms, _OLD_MS)

    async def test_outdated_instance_does_not_wait_for_the_next_change(self):
        """Guards against leaving targets that are used while a read waits."""
        cases = [("recent", 0.0, TARGETS_WAIT_S), ("outdated", _DELAY_S, 0.0)]
        for name, aged_s, wait_s in cases:
            with self.subTest(name):
                await self.read_changes(aged_s=aged_s)
                self.assertEqual(self.store.waits.pop(), wait_s)

    async def test_followers_of_a_large_fleet_call_a_lost_store_less_often(self):
        """Guards against an outage of the store that each instance keeps asking."""
        cases = [
            # is_large, is_reader, longest pause
            (True, False, MAX_FOLLOWER_RETRY_INTERVAL_S),
            (True, True, MAX_RETRY_INTERVAL_S),
            (False, False, MAX_RETRY_INTERVAL_S),
        ]
        for is_large, is_reader, longest_s in cases:
            with self.subTest(is_large=is_large, is_reader=is_reader):
                pauses = await self.record_pauses_of_an_outage(is_large, is_reader)
                self.assertLessEqual(max(pauses), longest_s * 1.3)
                self.assertGreaterEqual(max(pauses), longest_s * 0.7)

    async def record_pauses_of_an_outage(self, is_large, is_reader):
        """Return the pauses between calls in 20 s without the store."""
        self.store.is_out = False
        watch = self.make_watch(is_large=is_large, is_reader=is_reader)
        pauses, ends_at = [], self.peer.now + 20.0

        async def sleep(seconds):
            self.store.is_out = True
            pauses.append(seconds)
            self.peer.now += seconds
            if self.peer.now >= ends_at:
                raise asyncio.CancelledError

        with mock.patch("fulmarward_router.state._watch.asyncio.sleep", sleep):
            with self.assertRaises(asyncio.CancelledError):
                await watch.follow_targets()
        return pauses


def make_target(name):
    return TargetRecord(
        name=name,
        service="plain",
        address=f"{name}:1",
        data_centre="one",
        is_leaving=False,
        slots=4,
        remaining_warmup_s=0.0,
        started_ms=1,
        kind="",
        layers=None,
    )


class OddRowTest(unittest.IsolatedAsyncioTestCase):
    """One row leads to an error that nobody foresaw."""

    def setUp(self):
        self.peer = Peer("one")
        self.store = _Store(self.peer)
        self.rows = tuple(
            Row(key=key, value=b"x", version=version)
            for version, key in enumerate(("odd", "proper"), start=1)
        )
        self.store.read_table = mock.AsyncMock(
            return_value=RowsRead(rows=self.rows, version=5)
        )
        self.handled = []
        self.configuration = mock.Mock()
        self.watch = StoreWatch(
            store=self.store,
            configuration=self.configuration,
            catalogue=self.peer.catalogue,
            read_clock=lambda: self.peer.now,
            notify_peers=lambda: None,
            handle_target_changes=self.handled.extend,
            is_among_first=lambda count: True,
            is_large=lambda: False,
            read_heartbeat_interval_s=lambda: 0.3,
        )

    async def test_target_beside_an_odd_row_is_known(self):
        """Guards against a list that no instance can read because of one row."""

        def decode(row):
            if row.key == "odd":
                raise RecursionError
            return make_target(row.key)

        self.store.decode_target = decode
        await self.watch._read_all()
        self.assertEqual([row.name for row in self.handled if row.record], ["proper"])

    async def test_configuration_beside_an_odd_row_is_adopted(self):
        """Guards against a row that keeps all later ones from being adopted."""
        self.configuration.apply_row = mock.AsyncMock(
            side_effect=[RecursionError, True]
        )
        read = RowsRead(rows=self.rows, version=5)
        # The error has the whole table read again.
        with self.assertRaises(RecursionError):
            await self.watch._merge_configuration(read, 0.0)
        self.assertEqual(self.configuration.apply_row.call_count, 2)

    async def test_changes_beside_one_that_cannot_be_handled_are_handled(self):
        """Guards against a restart that stays unknown because of another target."""
        started = []

        def record_process(record):
            if record.name == "odd":
                raise ValueError
            started.append(record.name)

        handler = TargetChangeHandler(
            suspicions=self.peer.suspicions,
            notify_peers=lambda: None,
            record_process=record_process,
        )
        self.store.decode_target = lambda row: make_target(row.key)
        rows = [self.watch.decode_row(row, now=0.0) for row in self.rows]
        handler.handle_changes(rows)
        self.assertEqual(started, ["proper"])
