import unittest
from types import SimpleNamespace
from unittest import mock

from fulmarward_core.loads import LoadLedger
from fulmarward_router._listing import LIST_DURATION_S, CallerListing
from fulmarward_router.mesh import InstanceIdentity


class _Fleet:
    """Instances of one data centre that all know which of them are alive."""

    def __init__(self, size):
        self.now = 100.0
        self.identities = [
            InstanceIdentity(
                name=f"edge-{number:02}",
                boot=1,
                data_centre="a",
                peer_address=f"10.0.0.{number}:1",
                caller_address=f"10.0.0.{number}:2",
            )
            for number in range(size)
        ]
        self.alive = list(self.identities)
        self.lost = set()
        self.leaves_out_lost = False
        self.listings = {own.name: self._make_listing(own) for own in self.identities}

    def _make_listing(self, own):
        members = mock.Mock(
            is_large=len(self.identities) > 16,
            list_ready=lambda now: [
                SimpleNamespace(identity=item) for item in self.alive if item != own
            ],
            count_instances=lambda now: len(self.alive),
            has_duty=lambda name, now: False,
            list_lost=lambda: self.lost,
        )
        type(members).lost_revision = mock.PropertyMock(
            side_effect=lambda: len(self.lost)
        )
        return CallerListing(
            own=own,
            members=members,
            catalogue=mock.Mock(list_targets=lambda now: []),
            ledger=LoadLedger(),
            is_ready=lambda: True,
            is_isolated=lambda: False,
            read_clock=lambda: self.now,
            leaves_out_lost=lambda: self.leaves_out_lost,
        )

    def list_observers(self, target):
        return {
            item.name
            for item in self.alive
            if self.listings[item.name].is_observer(target)
        }


class ObserverTest(unittest.TestCase):
    def test_few_listed_instances_observe_each_target(self):
        """Guards against probes that grow with the targets times the instances."""
        fleet = _Fleet(20)
        for number in range(30):
            with self.subTest(number=number):
                self.assertEqual(len(fleet.list_observers(f"t{number}")), 2)

    def test_next_instances_observe_once_the_observers_are_lost(self):
        """Guards against a target that nobody probes any more."""
        fleet = _Fleet(20)
        lost = fleet.list_observers("t")
        fleet.alive = [item for item in fleet.identities if item.name not in lost]
        fleet.now += 2 * LIST_DURATION_S
        observers = fleet.list_observers("t")
        self.assertEqual(len(observers), 2)
        self.assertFalse(observers & lost)

    def test_all_instances_of_a_small_fleet_observe_each_target(self):
        """Guards against other failure detection in a small fleet than before."""
        self.assertEqual(len(_Fleet(5).list_observers("t")), 5)


class LostTest(unittest.TestCase):
    def test_lost_instance_is_left_out_at_once(self):
        """Guards against callers sent to an instance that is gone."""
        for is_in_force, expected in ((False, 5), (True, 4)):
            fleet = _Fleet(5)
            fleet.leaves_out_lost = is_in_force
            listing = fleet.listings["edge-00"]
            self.assertEqual(len(listing.list_addresses("a")), 5)
            fleet.lost.add("edge-01")
            self.assertEqual(len(listing.list_addresses("a")), expected)
