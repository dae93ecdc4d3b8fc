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
from fulmarward_router.tests.test_instance_state import Peer

_STEP_S = 0.4

#: More instances than a full mesh may have.
_MEMBERS = [f"m{number:02}" for number in range(FULL_MESH + 2)]
_HUBS = ["h0", "h1"]


def _make_path(targets):
    return [
        Hop(target=name, address="x:1", layers=LayerRange(start=0, end=2))
        for name in targets
    ]


class _Centre:
    """The instances of a data centre; members only hear the hub they subscribe to."""

    def __init__(self):
        self.peers = {name: Peer(name) for name in [*_HUBS, *_MEMBERS]}
        self.subscriptions = dict.fromkeys(_MEMBERS, "h0")
        self.revisions = {}
        self.dead = set()
        self.reservations = []
        #: The fetches that members sent to their hubs.
        self.fetches = []

    def reserve(self, name, targets):
        reservation = self.peers[name].ledger.reserve(_make_path(targets), 10)
        self.reservations.append((name, targets, reservation))

    def release(self):
        if self.reservations:
            name, _, reservation = self.reservations.pop(0)
            self.peers[name].ledger.release(reservation)

    def subscribe(self, member, hub):
        self.subscriptions[member] = hub
        self.revisions.pop(member, None)

    def run_round(self):
        """Let all members report to both hubs, then the hubs to their subscribers."""
        for peer in self.peers.values():
            peer.now += _STEP_S
        for name in _MEMBERS:
            for hub in _HUBS:
                if hub not in self.dead:
                    self._report(name, hub)
        if not self.dead:
            self._exchange("h0", "h1")
            self._exchange("h1", "h0")
        for name, hub in self.subscriptions.items():
            if hub not in self.dead:
                self._send_fleet_report(hub, name)

    def send_loads(self):
        """Between two rounds, let members send their loads and hubs those of all."""
        for name in _MEMBERS:
            for hub in _HUBS:
                if hub not in self.dead:
                    self._send_update(self.peers[name], self.peers[hub])
        for name, hub in self.subscriptions.items():
            revisions = self.revisions.get(name)
            if hub in self.dead or revisions is None:
                continue
            result = self.peers[hub].instance_state.make_fleet_loads(revisions.loads)
            report, revision = result
            self.revisions[name] = replace(revisions, loads=revision)
            instance_state = self.peers[name].instance_state
            if report and not instance_state.merge_fleet_loads(
                _encode_and_decode(report)
            ):
                del self.revisions[name]

    def _send_update(self, peer, hub):
        hub.instance_state.merge_load_update(
            _encode_and_decode(peer.instance_state.make_load_update())
        )

    def _report(self, name, hub):
        peer, hub = self.peers[name], self.peers[hub]
        self._send_heartbeat(peer, hub, has_loads=False)
        self._send_update(peer, hub)

    def _exchange(self, name, other):
        self._send_heartbeat(self.peers[name], self.peers[other], has_loads=True)

    def _send_heartbeat(self, peer, other, *, has_loads):
        heartbeat = _encode_and_decode(
            peer.instance_state.make_heartbeat(has_loads=has_loads)
        )
        other.members.merge_heartbeat(heartbeat, now=other.now)
        other.instance_state.merge_heartbeat(heartbeat)

    def _send_fleet_report(self, hub, name):
        revisions = self.revisions.get(name, Revisions())
        changes = None
        if revisions.targets >= 0:
            changes = self.peers[hub].instance_state.make_target_changes(
                revisions.targets
            )
        if changes is not None:
            self.peers[name].instance_state.merge_snapshot(_encode_and_decode(changes))
        report, self.revisions[name] = self.peers[hub].instance_state.make_fleet_report(
            revisions
        )
        report, peer = _encode_and_decode(report), self.peers[name]
        peer.members.merge_fleet_report(report, now=peer.now)
        if not peer.instance_state.merge_fleet_report(report):
            del self.revisions[name]
        peer.members.merge_heartbeat(report.heartbeat, now=peer.now)
        self.fetches += peer.instance_state.merge_heartbeat(report.heartbeat)

    def count_loads(self):
        running = {}
        for _, targets, _ in self.reservations:
            for target in targets:
                running[target] = running.get(target, 0) + 1
        return running

    def count_known_loads(self, name):
        peer = self.peers[name]
        loads = peer.ledger.sum_loads(now=peer.now)
        return {target: load.running for target, load in loads.items() if load.running}


def _encode_and_decode(message):
    return decode_message(encode_message(message))


_TARGETS = st.lists(st.sampled_from("abcdef"), min_size=1, max_size=3, unique=True)
_STEPS = st.one_of(
    st.tuples(st.just("reserve"), st.sampled_from([*_HUBS, *_MEMBERS]), _TARGETS),
    st.tuples(st.just("release")),
    st.tuples(st.just("round")),
    st.tuples(st.just("loads")),
    st.tuples(st.just("subscribe"), st.sampled_from(_MEMBERS), st.sampled_from(_HUBS)),
)


class SubscriptionTest(unittest.TestCase):
    @settings(max_examples=40, deadline=None)
    @given(st.lists(_STEPS, max_size=60))
    def test_members_know_all_loads_after_two_rounds_without_changes(self, steps):
        """Guards against loads that a hub counts twice, keeps too long, or loses."""
        centre = _Centre()
        for step, *arguments in steps:
            act = {
                "reserve": centre.reserve,
                "release": centre.release,
                "round": centre.run_round,
                "loads": centre.send_loads,
                "subscribe": centre.subscribe,
            }[step]
            act(*arguments)
        centre.run_round()
        centre.run_round()
        expected = centre.count_loads()
        for name in centre.peers:
            self.assertEqual(centre.count_known_loads(name), expected, name)

    def test_loads_are_known_to_members_between_the_rounds(self):
        """Guards against routing decisions on loads as old as a round."""
        centre = _Centre()
        centre.run_round()
        centre.reserve("m03", ["a", "b"])
        centre.reserve("m04", ["a"])
        centre.send_loads()
        for name in _MEMBERS:
            self.assertEqual(centre.count_known_loads(name), {"a": 2, "b": 1})

    def test_own_load_counts_at_once_and_once(self):
        """Guards against a member that uses the hub's older report of its own loads."""
        centre = _Centre()
        centre.reserve("m03", ["a"])
        centre.run_round()
        centre.reserve("m03", ["a"])
        centre.reserve("m04", ["a"])
        self.assertEqual(centre.count_known_loads("m03"), {"a": 2})
        centre.release()
        self.assertEqual(centre.count_known_loads("m03"), {"a": 1})
        centre.run_round()
        self.assertEqual(centre.count_known_loads("m03"), {"a": 2})

    def test_loads_are_kept_when_the_first_hub_dies(self):
        """Guards against targets that appear idle after a hub has failed."""
        centre = _Centre()
        centre.reserve("m03", ["a"])
        centre.run_round()
        centre.dead.add("h0")
        for name in _MEMBERS:
            centre.subscribe(name, "h1")
        centre.run_round()
        for name in _MEMBERS:
            self.assertEqual(centre.count_known_loads(name), {"a": 1})
            peer = centre.peers[name]
            alive = {m.identity.name for m in peer.members.list_fresh(now=peer.now)}
            self.assertGreaterEqual(alive, {"h1", *_MEMBERS} - {name})

    def test_silent_member_is_not_listed_by_any_other(self):
        centre = _Centre()
        for _ in range(3):
            centre.run_round()
        silent = _MEMBERS.pop()
        self.addCleanup(_MEMBERS.append, silent)
        for _ in range(8):
            centre.run_round()
        peer = centre.peers["m00"]
        names = {m.identity.name for m in peer.members.list_ready(now=peer.now)}
        self.assertEqual(names, {*_HUBS, *_MEMBERS} - {"m00"})
        self.assertEqual(peer.members.count_instances(now=peer.now), len(names) + 1)

    def test_target_that_fails_at_one_member_is_suspect_at_all(self):
        centre = _Centre()
        centre.peers["m05"].suspicions.record_failure("t", now=centre.peers["m05"].now)
        centre.run_round()
        centre.run_round()
        for name in _MEMBERS:
            peer = centre.peers[name]
            self.assertTrue(peer.suspicions.is_suspect("t", now=peer.now))
            # Only a direct failure affects requests in flight on the target.
            self.assertEqual(
                peer.suspicions.is_unreachable("t", now=peer.now), name == "m05"
            )

    def test_change_of_a_target_reaches_all_without_a_fetch(self):
        """Guards against a fetch by each subscriber for each change."""
        centre = _Centre()
        rows = [
            KnownRow(name="t", version=at, value=b"x%d" % at, record=None, heard_at=1.0)
            for at in (5, 7)
        ]
        for peer in centre.peers.values():
            peer.catalogue.apply_full_read(rows[:1], 5, now=peer.now)
        centre.run_round()
        hub = centre.peers["h0"]
        hub.catalogue.apply_changes(rows[1:], 7, now=hub.now)
        centre.run_round()
        versions = {centre.peers[name].catalogue.version for name in _MEMBERS}
        self.assertEqual((versions, centre.fetches), ({7}, []))

    def test_report_without_changes_is_small(self):
        """Guards against reports that grow with the fleet."""
        centre = _Centre()
        for _ in range(3):
            centre.run_round()
        hub = centre.peers["h0"].instance_state
        full, revisions = hub.make_fleet_report(Revisions())
        later, _ = hub.make_fleet_report(revisions)
        self.assertEqual(len(full.members), len(_MEMBERS) + 1)
        self.assertEqual(later.members, ())
        self.assertLess(len(encode_message(later)), 250)

    def test_subscription_is_unchanged_by_encoding_and_decoding(self):
        message = Subscription(
            sender="m00", boot=4, wants_heartbeats=True, wants_reports=False
        )
        self.assertEqual(_encode_and_decode(message), message)
