import unittest

from fulmarward_router.ports import RowsRead
from fulmarward_router.state import StoreWatch
from fulmarward_router.state._watch import TARGETS_WAIT_S
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
        #: Seconds for which each call would wait for changes.
        self.waits = []

    async def read_table(self, table):
        return RowsRead(rows=(), version=5)

    async def follow_table(self, table, after, wait_s):
        self.waits.append(wait_s)
        self._peer.now += wait_s + self.delay_s
        return RowsRead(rows=(), version=after)


class TargetsReadTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.peer = Peer("one")
        self.store = _Store(self.peer)

    async def read_changes(self, *, aged_s=0.0):
        """Read the whole table and, `aged_s` later, its changes."""
        watch = StoreWatch(
            store=self.store,
            configuration=self.peer.configuration,
            catalogue=self.peer.catalogue,
            read_clock=lambda: self.peer.now,
            notify_peers=lambda: None,
            handle_target_changes=lambda rows: None,
            is_among_first=lambda count: True,
            is_large=lambda: False,
            read_heartbeat_interval_s=lambda: 0.3,
        )
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
