"""Instances exchange what they know while the store comes back from a copy."""

import unittest
from unittest import mock

from fulmarward_core.store_versions import make_store_version
from fulmarward_router.mesh._eras import remove_eras
from fulmarward_router.ports import Row
from fulmarward_router.tests._routing_peer import RoutingPeer, make_target_row
from fulmarward_router.tests.test_instance_state import _decode


def _make_row(name, era, number, *, is_leaving=False):
    row = make_target_row(name, number, is_leaving=is_leaving)
    version = make_store_version(era, number)
    return Row(key=row.key, value=row.value, version=version)


def _read_all(peer, era, number, *rows):
    """Apply an answer of the store with the whole table."""
    decoded = [peer._decode_row(row, now=peer.now) for row in rows]
    peer.catalogue.apply_full_read(
        decoded, make_store_version(era, number), now=peer.now
    )


def _read_change(peer, era, number, *rows):
    peer.read_targets(rows, make_store_version(era, number))


def _list_staying(peer):
    records = peer.catalogue.list_targets(now=peer.now)
    return sorted(record.name for record in records if not record.is_leaving)


class RestoredStoreTest(unittest.TestCase):
    def setUp(self):
        self.one, self.two = RoutingPeer("one"), RoutingPeer("two")
        for peer in (self.one, self.two):
            _read_all(peer, 1, 10, _make_row("t", 1, 9), _make_row("u", 1, 10))

    def pass_time(self, seconds):
        for peer in (self.one, self.two):
            peer.now += seconds

    def test_instance_that_does_not_read_the_store_follows_a_reader(self):
        """Guards against a leaving that only the readers of a large fleet know."""
        _read_change(self.one, 1, 124, _make_row("u", 1, 124))
        _read_change(self.two, 1, 124, _make_row("u", 1, 124))
        self.pass_time(1.0)
        _read_all(self.one, 2, 114, _make_row("t", 2, 9), _make_row("u", 2, 10))
        _read_change(self.one, 2, 115, _make_row("t", 2, 115, is_leaving=True))
        self.two.receive_heartbeat(self.one)
        self.assertEqual(_list_staying(self.two), ["u"])
        self.assertEqual(self.two.catalogue.version, self.one.catalogue.version)
        self.assertEqual(self.two.catalogue.confirmed_at, self.one.now)

    def test_peer_that_follows_the_lost_history_confirms_and_changes_nothing(self):
        """Guards against a peer that has not read the restored store."""
        _read_change(self.two, 1, 124, _make_row("u", 1, 124, is_leaving=True))
        _read_all(self.one, 2, 114, _make_row("t", 2, 9), _make_row("u", 2, 10))
        confirmed_at = self.one.catalogue.confirmed_at
        self.pass_time(0.5)
        self.two.catalogue.confirm(self.two.catalogue.version, at=self.two.now)
        self.assertEqual(self.one.receive_heartbeat(self.two), [])
        self.assertEqual(self.one.catalogue.confirmed_at, confirmed_at)
        self.assertEqual(_list_staying(self.one), ["t", "u"])

    def test_configuration_is_not_confirmed_by_a_peer_of_a_lost_history(self):
        """Guards against a peer that ignores what was written after the restore."""
        row = Row(key="config", value=b"7", version=make_store_version(1, 5))
        for peer in (self.one, self.two):
            peer.configuration._decode = _decode
            peer.read_configuration(row)
        confirmed_at = self.one.configuration.confirmed_at
        _read_all(self.one, 2, 4, _make_row("t", 2, 3))
        self.pass_time(1.0)
        self.two.configuration.record_confirmation(at=self.two.now)
        for convert in (lambda message: message, remove_eras):
            heartbeat = convert(self.two.instance_state.make_heartbeat())
            self.one.instance_state.merge_heartbeat(heartbeat)
            self.assertEqual(self.one.configuration.confirmed_at, confirmed_at)
        _read_all(self.two, 2, 4, _make_row("t", 2, 3))
        self.one.receive_heartbeat(self.two)
        self.assertEqual(self.one.configuration.confirmed_at, self.two.now)

    def test_release_without_eras_does_no_harm_to_this_one(self):
        """Guards against its numbers, once they have passed those of this era."""
        _read_all(self.one, 2, 114, _make_row("t", 2, 9), _make_row("u", 2, 10))
        _read_change(self.one, 2, 115, _make_row("t", 2, 115, is_leaving=True))
        confirmed_at = self.one.catalogue.confirmed_at
        # It has numbers only, and has ignored the rows of the restored store.
        self.two = RoutingPeer("two")
        _read_all(self.two, 0, 130, _make_row("t", 0, 124), _make_row("u", 0, 130))
        self.pass_time(1.0)
        self.two.now = self.one.now
        self.two.catalogue.confirm(self.two.catalogue.version, at=self.two.now)
        self.assertEqual(self.one.receive_heartbeat(self.two), [])
        self.assertEqual(self.one.catalogue.confirmed_at, confirmed_at)
        self.assertEqual(_list_staying(self.one), ["u"])

    def test_peer_that_does_not_read_the_store_passes_on_what_is_gone(self):
        """Guards against an instance that starts and has links to hubs only."""
        gone = Row(key="t", value=None, version=make_store_version(1, 121))
        for peer in (self.one, self.two):
            _read_change(peer, 1, 121, gone)
        _read_all(self.one, 2, 114, _make_row("t", 2, 9), _make_row("u", 2, 10))
        self.two.receive_heartbeat(self.one)
        new = RoutingPeer("new")
        _read_all(new, 2, 115, _make_row("t", 2, 9), _make_row("u", 2, 10))
        new.instance_state.merge_snapshot(self.two.instance_state.make_kept_changes())
        self.assertEqual(_list_staying(new), ["u"])

    def test_what_was_kept_is_passed_on_once(self):
        """Guards against instances behind a hub that never learn of it."""
        gone = Row(key="t", value=None, version=make_store_version(1, 121))
        _read_change(self.one, 1, 121, gone)
        _read_all(self.one, 2, 114, _make_row("t", 2, 9), _make_row("u", 2, 10))
        kept = self.one.instance_state.make_kept_changes()
        hub = RoutingPeer("hub")
        hub.instance_state._notify_kept = notify_kept = mock.Mock()
        _read_all(hub, 2, 115, _make_row("t", 2, 9), _make_row("u", 2, 10))
        for _ in range(2):
            hub.instance_state.merge_snapshot(kept)
        notify_kept.assert_called_once_with()
        behind = RoutingPeer("behind")
        _read_all(behind, 2, 115, _make_row("t", 2, 9), _make_row("u", 2, 10))
        behind.instance_state.merge_snapshot(hub.instance_state.make_kept_changes())
        self.assertEqual(_list_staying(behind), ["u"])

    def test_instance_that_starts_after_the_loss_learns_what_was_kept(self):
        """Guards against a target that is gone, used as the copy lists it."""
        _read_change(
            self.one,
            1,
            121,
            Row(key="t", value=None, version=make_store_version(1, 121)),
        )
        _read_all(self.one, 2, 114, _make_row("t", 2, 9), _make_row("u", 2, 10))
        self.assertEqual(_list_staying(self.one), ["u"])
        kept = self.one.instance_state.make_kept_changes()
        for reads_first in (True, False):
            with self.subTest(reads_first=reads_first):
                new = RoutingPeer("new")
                rows = _make_row("t", 2, 9), _make_row("u", 2, 10)
                if reads_first:
                    _read_all(new, 2, 115, *rows)
                new.instance_state.merge_snapshot(kept)
                if not reads_first:
                    _read_all(new, 2, 115, *rows)
                self.assertEqual(_list_staying(new), ["u"])
                _read_change(new, 2, 116, _make_row("t", 2, 116))
                self.assertEqual(_list_staying(new), ["t", "u"])
