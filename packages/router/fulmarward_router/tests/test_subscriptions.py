import unittest
from dataclasses import replace

from hypothesis import given, settings, strategies as st

from fulmarward_core.catalogue import KnownRow
from fulmarward_core.fleet import LayerRange
from fulmarward_core.overlay import FULL_MESH
from fulmarward_core.paths import Hop
from fulmarward_router.mesh import (
    Revisions,
    Subscription,
    decode_message,
    encode_message,
)
from fulmarward_router.tests.test_knowledge import Peer

_STEP_S = 0.4

#: More instances than are linked each to each.
_MEMBERS = [f"m{number:02}" for number in range(FULL_MESH + 2)]
_HUBS = ["h0", "h1"]


def _make_path(targets):
    return [
        Hop(target=name, address="x:1", layers=LayerRange(start=0, end=2))
        for name in targets
    ]


class _Centre:
    """The instances of a data centre; members hear only the hubs that they follow."""

    def __init__(self):
        self.peers = {name: Peer(name) for name in [*_HUBS, *_MEMBERS]}
        self.followed = dict.fromkeys(_MEMBERS, "h0")
        self.told = {}
        self.dead = set()
        self.open = []
        #: What members asked their hubs for.
        self.fetches = []

    def reserve(self, name, targets):
        reservation = self.peers[name].ledger.reserve(_make_path(targets), 10)
        self.open.append((name, targets, reservation))

    def release(self):
        if self.open:
            name, _, reservation = self.open.pop(0)
            self.peers[name].ledger.release(reservation)

    def follow(self, member, hub):
        self.followed[member] = hub
        self.told.pop(member, None)

    def play_round(self):
        """All members report to both hubs, then the hubs to those that follow them."""
        for peer in self.peers.values():
            peer.now += _STEP_S
        for name in _MEMBERS:
            for hub in _HUBS:
                if hub not in self.dead:
                    self._report(name, hub)
        if not self.dead:
            self._exchange("h0", "h1")
            self._exchange("h1", "h0")
        for name, hub in self.followed.items():
            if hub not in self.dead:
                self._tell(hub, name)

    def play_loads(self):
        """Members send their loads between the rounds, and the hubs those of all."""
        for name in _MEMBERS:
            for hub in _HUBS:
                if hub not in self.dead:
                    self._send_update(self.peers[name], self.peers[hub])
        for name, hub in self.followed.items():
            told = self.told.get(name)
            if hub in self.dead or told is None:
                continue
            made = self.peers[hub].knowledge.make_fleet_loads(told.loads)
            report, revision = made
            self.told[name] = replace(told, loads=revision)
            knowledge = self.peers[name].knowledge
            if report and not knowledge.merge_fleet_loads(_carry(report)):
                del self.told[name]

    def _send_update(self, peer, hub):
        hub.knowledge.merge_load_update(_carry(peer.knowledge.make_load_update()))

    def _report(self, name, hub):
        peer, hub = self.peers[name], self.peers[hub]
        self._send_heartbeat(peer, hub, has_loads=False)
        self._send_update(peer, hub)

    def _exchange(self, name, other):
        self._send_heartbeat(self.peers[name], self.peers[other], has_loads=True)

    def _send_heartbeat(self, peer, other, *, has_loads):
        heartbeat = _carry(peer.knowledge.make_heartbeat(has_loads=has_loads))
        other.members.merge_heartbeat(heartbeat, now=other.now)
        other.knowledge.merge_heartbeat(heartbeat)

    def _tell(self, hub, name):
        told = self.told.get(name, Revisions())
        changes = None
        if told.targets >= 0:
            changes = self.peers[hub].knowledge.make_target_changes(told.targets)
        if changes is not None:
            self.peers[name].knowledge.merge_snapshot(_carry(changes))
        report, self.told[name] = self.peers[hub].knowledge.make_fleet_report(told)
        report, peer = _carry(report), self.peers[name]
        peer.members.merge_fleet(report, now=peer.now)
        if not peer.knowledge.merge_fleet_report(report):
            del self.told[name]
        peer.members.merge_heartbeat(report.heartbeat, now=peer.now)
        self.fetches += peer.knowledge.merge_heartbeat(report.heartbeat)

    def count_loads(self):
        running = {}
        for _, targets, _ in self.open:
            for target in targets:
                running[target] = running.get(target, 0) + 1
        return running

    def count_believed(self, name):
        peer = self.peers[name]
        loads = peer.ledger.sum_loads(now=peer.now)
        return {target: load.running for target, load in loads.items() if load.running}


def _carry(message):
    return decode_message(encode_message(message))


_TARGETS = st.lists(st.sampled_from("abcdef"), min_size=1, max_size=3, unique=True)
_STEPS = st.one_of(
    st.tuples(st.just("reserve"), st.sampled_from([*_HUBS, *_MEMBERS]), _TARGETS),
    st.tuples(st.just("release")),
    st.tuples(st.just("round")),
    st.tuples(st.just("loads")),
    st.tuples(st.just("follow"), st.sampled_from(_MEMBERS), st.sampled_from(_HUBS)),
)


class SubscriptionTest(unittest.TestCase):
    @settings(max_examples=40, deadline=None)
    @given(st.lists(_STEPS, max_size=60))
    def test_members_know_the_load_of_all_after_two_quiet_rounds(self, steps):
        """Guards against loads counted twice, kept, or lost on the way by a hub."""
        centre = _Centre()
        for step, *arguments in steps:
            act = {
                "reserve": centre.reserve,
                "release": centre.release,
                "round": centre.play_round,
                "loads": centre.play_loads,
                "follow": centre.follow,
            }[step]
            act(*arguments)
        centre.play_round()
        centre.play_round()
        expected = centre.count_loads()
        for name in centre.peers:
            self.assertEqual(centre.count_believed(name), expected, name)

    def test_loads_are_known_to_members_between_the_rounds(self):
        """Guards against members that plan with loads as old as a round."""
        centre = _Centre()
        centre.play_round()
        centre.reserve("m03", ["a", "b"])
        centre.reserve("m04", ["a"])
        centre.play_loads()
        for name in _MEMBERS:
            self.assertEqual(centre.count_believed(name), {"a": 2, "b": 1})

    def test_own_load_counts_at_once_and_once(self):
        """Guards against a member that plans with the hub's older view of itself."""
        centre = _Centre()
        centre.reserve("m03", ["a"])
        centre.play_round()
        centre.reserve("m03", ["a"])
        centre.reserve("m04", ["a"])
        self.assertEqual(centre.count_believed("m03"), {"a": 2})
        centre.release()
        self.assertEqual(centre.count_believed("m03"), {"a": 1})
        centre.play_round()
        self.assertEqual(centre.count_believed("m03"), {"a": 2})

    def test_death_of_the_first_hub_loses_no_knowledge(self):
        """Guards against targets that look idle once a hub is gone."""
        centre = _Centre()
        centre.reserve("m03", ["a"])
        centre.play_round()
        centre.dead.add("h0")
        for name in _MEMBERS:
            centre.follow(name, "h1")
        centre.play_round()
        for name in _MEMBERS:
            self.assertEqual(centre.count_believed(name), {"a": 1})
            peer = centre.peers[name]
            alive = {m.identity.name for m in peer.members.list_fresh(now=peer.now)}
            self.assertGreaterEqual(alive, {"h1", *_MEMBERS} - {name})

    def test_member_that_falls_silent_leaves_the_lookup_of_all(self):
        centre = _Centre()
        for _ in range(3):
            centre.play_round()
        silent = _MEMBERS.pop()
        self.addCleanup(_MEMBERS.append, silent)
        for _ in range(8):
            centre.play_round()
        peer = centre.peers["m00"]
        names = {m.identity.name for m in peer.members.list_ready(now=peer.now)}
        self.assertEqual(names, {*_HUBS, *_MEMBERS} - {"m00"})
        self.assertEqual(peer.members.count_instances(now=peer.now), len(names) + 1)

    def test_what_one_member_lost_is_left_out_by_all(self):
        centre = _Centre()
        centre.peers["m05"].suspicions.record_failure("t", now=centre.peers["m05"].now)
        centre.play_round()
        centre.play_round()
        for name in _MEMBERS:
            peer = centre.peers[name]
            self.assertTrue(peer.suspicions.is_suspect("t", now=peer.now))
            # Only what is seen counts against what runs there.
            self.assertEqual(
                peer.suspicions.is_unreachable("t", now=peer.now), name == "m05"
            )

    def test_change_of_a_target_reaches_all_without_being_asked_for(self):
        """Guards against a fetch by each subscriber for each change."""
        centre = _Centre()
        rows = [
            KnownRow(name="t", version=at, value=b"x%d" % at, record=None, heard_at=1.0)
            for at in (5, 7)
        ]
        for peer in centre.peers.values():
            peer.catalogue.take_all(rows[:1], 5, now=peer.now)
        centre.play_round()
        hub = centre.peers["h0"]
        hub.catalogue.take_changes(rows[1:], 7, now=hub.now)
        centre.play_round()
        versions = {centre.peers[name].catalogue.version for name in _MEMBERS}
        self.assertEqual((versions, centre.fetches), ({7}, []))

    def test_report_of_a_quiet_fleet_is_small(self):
        """Guards against reports that grow with the fleet."""
        centre = _Centre()
        for _ in range(3):
            centre.play_round()
        hub = centre.peers["h0"].knowledge
        full, told = hub.make_fleet_report(Revisions())
        later, _ = hub.make_fleet_report(told)
        self.assertEqual(len(full.members), len(_MEMBERS) + 1)
        self.assertEqual(later.members, ())
        self.assertLess(len(encode_message(later)), 250)

    def test_subscription_comes_through_as_it_was(self):
        message = Subscription(
            sender="m00", boot=4, wants_heartbeats=True, wants_reports=False
        )
        self.assertEqual(_carry(message), message)
