"""Beliefs that must count from when they were true, not from when they arrived."""

import asyncio
import unittest
from unittest import mock

from fulmarward_core.quotas import RetryBudget
from fulmarward_router.exchange._caller_handler import (
    DEFAULT_CONFIGURATION_S,
    MAX_OUTDATED_SHARE,
)
from fulmarward_router.exchange._whole_responses import ATTEMPT_TIMEOUT_S
from fulmarward_router.mesh import FetchTargets, RowSnapshot, TargetChanges
from fulmarward_router.mesh.tests.test_members import make_heartbeat
from fulmarward_router.ports import Row, RowsRead
from fulmarward_router.state import StoreWatch
from fulmarward_router.tests._coroutines import run_at_once
from fulmarward_router.tests._routing_peer import (
    RoutingPeer,
    make_configuration_row,
    make_target_row,
)

#: Seconds for which a link holds messages, longer than a refused target is avoided.
_HELD_S = 4.0

#: Seconds for which an instance serves by a configuration that it knows to be outdated.
_MAX_OUTDATED_S = DEFAULT_CONFIGURATION_S * MAX_OUTDATED_SHARE


def _make_row(version, value=None):
    return Row(key="config", value=value or str(version).encode(), version=version)


class ConfirmationTest(unittest.TestCase):
    def test_targets_that_were_never_confirmed_are_not_passed_on_as_confirmed(self):
        """A store that is out, two instances that have started, an unmeasured link."""
        reader, first, second = (RoutingPeer(n) for n in ("reader", "first", "second"))
        reader.read_targets([make_target_row("t1", 2)], 4)
        reader.now = first.now = second.now = 130.0
        answer = reader.instance_state.answer(FetchTargets(after=0))
        first.instance_state.merge_snapshot(answer, delay_s=float("inf"))
        self.assertTrue(first.catalogue.may_miss_leaving(now=130.0))
        second.receive_heartbeat(first)
        self.assertEqual(second.catalogue.version, 4)
        self.assertTrue(second.catalogue.may_miss_leaving(now=130.0))


class OutdatedConfigurationTest(unittest.TestCase):
    def setUp(self):
        self.peer = RoutingPeer("one")
        self.holder = self.peer.configuration
        run_at_once(self.holder.apply_row(_make_row(1), source="store"))

    def _report(self, version, **delay):
        heartbeat = make_heartbeat("peer", configuration_version=version)
        self.peer.instance_state.merge_heartbeat(heartbeat, **delay)

    def _is_served(self):
        status, _ = self.peer.request("/v1/x", key="k1")
        return status == 200

    def test_version_after_one_that_was_refused_is_missed(self):
        """A version that cannot be decoded, then one that revokes a key is late."""
        self.peer.read_targets([make_target_row("t1", 2)], 4)
        run_at_once(self.holder.apply_row(_make_row(2, b"?"), source="store"))
        self._report(3)
        self.peer.now += 10.0
        self.assertFalse(self._is_served())

    def test_older_version_does_not_excuse_a_newer_one_that_is_missing(self):
        """Version 3 revokes a key, version 2 arrives from a peer that is behind."""
        self._report(3)
        self.peer.now += 1.4
        run_at_once(self.holder.apply_row(_make_row(2), source="peer"))
        self.peer.now += 1.4
        outdated_s = self.holder.find_outdated_s(now=self.peer.now)
        self.assertGreater(outdated_s, _MAX_OUTDATED_S)

    def test_version_is_missing_since_a_peer_had_it(self):
        """A link holds the report of a version that revokes a key."""
        self._report(2, delay_s=1.6)
        outdated_s = self.holder.find_outdated_s(now=self.peer.now)
        self.assertGreater(outdated_s, _MAX_OUTDATED_S)


class OutageTest(unittest.TestCase):
    def setUp(self):
        self.peer = RoutingPeer("one")
        self.peer.read_targets([make_target_row("t1", 2)], 4)

    def _hear_of_removal(self):
        """Hear for the first time in a while, that a target was removed."""
        self.peer.now += _HELD_S
        row = RowSnapshot(key="t1", version=6, value=None)
        changes = TargetChanges(after=4, version=6, age_ms=10, rows=(row,))
        self.peer.instance_state.merge_snapshot(changes)
        return self.peer.catalogue.list_targets(now=self.peer.now)

    def test_removed_target_is_gone_after_a_silence(self):
        """A link of this instance is down while a target is removed."""
        self.assertEqual(self._hear_of_removal(), [])

    def test_removed_target_is_gone_after_a_late_report_of_an_outage(self):
        """An outage is over, a link delivers its report, then it is down."""
        heartbeat = make_heartbeat(
            "peer", is_store_reachable=False, targets_version=4, targets_age_ms=3000
        )
        self.peer.now += 0.1
        self.peer.instance_state.merge_heartbeat(heartbeat, delay_s=_HELD_S)
        self.assertEqual(self._hear_of_removal(), [])


class LateReportTest(unittest.TestCase):
    def test_refusals_count_from_when_they_were_reported(self):
        """A link holds the report of a refusing target until it is outdated."""
        peer = RoutingPeer("one")
        heartbeat = make_heartbeat("peer", refusing=("t1",))
        peer.instance_state.merge_heartbeat(heartbeat, delay_s=_HELD_S)
        refusals = peer.suspicions.refusals
        self.assertFalse(refusals.is_refusing("t1", now=peer.now))

    def test_leaving_counts_from_when_it_may_have_begun(self):
        """A link is down for 4 s, then a target is known to leave since then."""
        peer = RoutingPeer("one")
        peer.read_targets([make_target_row("t1", 2)], 4)
        peer.now += _HELD_S
        peer.read_targets([make_target_row("t1", 5, is_leaving=True)], 5)
        left_s = peer.catalogue.find_leaving_s("t1", now=peer.now)
        self.assertGreaterEqual(left_s, _HELD_S)


class LateReadTest(unittest.IsolatedAsyncioTestCase):
    async def test_outdated_read_of_all_targets_changes_nothing(self):
        """A read of the whole table is answered after a peer sent a newer version."""
        peer = RoutingPeer("one")
        handled = []
        watch = StoreWatch(
            store=mock.Mock(),
            configuration=peer.configuration,
            catalogue=peer.catalogue,
            read_clock=lambda: peer.now,
            notify_peers=lambda: None,
            handle_target_changes=handled.extend,
            is_among_first=lambda count: True,
            is_large=lambda: False,
            read_heartbeat_interval_s=lambda: 0.3,
        )
        watch.decode_row = peer._decode_row
        answer = RowsRead(rows=(make_target_row("t1", 2),), version=4)
        watch._store.read_table = mock.AsyncMock(return_value=answer)
        peer.read_targets([make_target_row("t1", 7, is_leaving=True)], 7)
        await watch._read_all()
        self.assertTrue(peer.catalogue.find_target("t1").is_leaving)
        self.assertEqual(handled, [])


class SlowTargetTest(unittest.TestCase):
    def test_request_without_a_retry_waits_for_its_target(self):
        """A target takes longer than an attempt may, and no retry is left."""
        peer = RoutingPeer("one")
        peer.read_configuration(make_configuration_row(1))
        peer.read_targets([make_target_row("t1", 2), make_target_row("t2", 3)], 4)
        answer = peer.client.open

        async def open_late(state, call):
            await asyncio.sleep(2 * ATTEMPT_TIMEOUT_S)
            return await answer(state, call)

        peer.client.open = open_late
        with mock.patch.object(RetryBudget, "take_retry", return_value=False):
            status, _ = peer.request("/v1/x", key="k1")
        self.assertEqual(status, 200)
