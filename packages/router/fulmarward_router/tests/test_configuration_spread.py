import heapq
import json
import random
import unittest

from fulmarward_core.spread import DEFER_DURATION_S
from fulmarward_router.mesh import (
    CompressedConfiguration,
    ConfigurationDeferred,
    ConfigurationReceived,
    FetchCompressedConfiguration,
    FetchTargets,
    Heartbeat,
    TargetChanges,
    encode_message,
)
from fulmarward_router.ports import Row
from fulmarward_router.tests._coroutines import run_at_once
from fulmarward_router.tests.test_instance_state import Peer, _Configuration

#: Bandwidth of a small instance's link in bytes per second: 20 Mbit/s.
_LINK_BYTES_PER_S = 2_500_000

#: Latency in seconds within a data centre and between two.
_LATENCY_S, _REMOTE_LATENCY_S = 0.001, 0.02

#: Seconds that an instance takes to decode a row with all its routes.
_DECODE_S = 0.15

#: Seconds between two heartbeats on a link.
_HEARTBEAT_INTERVAL_S = 0.5

#: When the store starts to send the new version to each instance that follows it.
_STORE_SEND_TIMES_S = (0.0, 0.02, 0.04, 0.06)

#: Maximum seconds for which a message may wait for a link, not counting the row from
#: the store. A target whose probe is answered 35 to 250 ms late counts as unreachable.
_MAX_WAIT_S = 0.1


#: Seconds in which a version must be in force everywhere.
_MAX_SPREAD_S = 3.0


def _decode(row):
    yield
    return _Configuration(json.loads(row.value)["version"])


def _make_row(version, routes):
    """Return a realistic row: many routes that resemble each other."""
    generator = random.Random(version)
    value = {
        "version": version,
        "routes": [
            {
                "id": f"r-{generator.getrandbits(36):x}",
                "match": {"host": f"svc-{number % 40}.example", "path": f"/v{number}"},
                "service": f"s{generator.getrandbits(24):x}",
                "team": f"t{generator.getrandbits(24):x}",
                "kind": "stream",
                "split": [{"target": f"p-{number % 9}", "weight": 100}],
                "retries": {"attempts": 2, "repeatable": number % 3 == 0},
                "limits": {"wait_ms": 30_000, "gap_ms": 60, "first_ms": 2_500},
            }
            for number in range(routes)
        ],
    }
    return Row(key="config", version=version, value=json.dumps(value).encode())


class _Fleet:
    """Simulates instances in data centres, with links of limited bandwidth."""

    def __init__(self, *, sizes, link=_LINK_BYTES_PER_S, has_hubs=False):
        self.now = 0.0
        self._bytes_per_s = link
        self.peers = []
        self.in_force = {}
        self.waited_s = 0.0
        self._events = []
        self._order = 0
        self._centres = []
        self._free_at = {}
        #: When the row from the store has been received, by link.
        self._store_row_at = {}
        for centre, size in enumerate(sizes):
            for _ in range(size):
                name = f"i{len(self.peers):03}"
                self.peers.append(Peer(name, decode=_decode, link_bytes_per_s=link))
                self._centres.append(centre)
        hubs = {
            self._centres.index(centre) + n
            for centre in set(self._centres)
            for n in (0, 1)
        }
        indexes = range(len(self.peers))
        self._links = [
            [
                other
                for other in indexes
                if other != one
                and (
                    {one, other} <= hubs
                    or self._centres[one] == self._centres[other]
                    and (not has_hubs or not hubs.isdisjoint((one, other)))
                )
            ]
            for one in indexes
        ]
        for one in indexes:
            for other in self._links[one]:
                self.peers[other].record_compression_support(self.peers[one])

    def run(self, *rows, until, interval_s=0.0):
        """Send `rows` from the store to the first instances and run the simulation.

        The rows are `interval_s` seconds apart. Half a second after all instances have
        the last one, no copy of it is in transit any more.
        """
        self._generator = generator = random.Random(1)
        self.last_version = json.loads(rows[-1].value)["version"]
        for number, row in enumerate(rows):
            for index, at in enumerate(_STORE_SEND_TIMES_S):
                self._schedule(
                    number * interval_s + at, self._receive_from_store, index, row
                )
        for one in range(len(self.peers)):
            self._schedule(
                generator.uniform(0.0, _HEARTBEAT_INTERVAL_S),
                self._send_periodic_heartbeats,
                one,
            )
        while self._events and self._events[0][0] <= until:
            self.now, _, step, args = heapq.heappop(self._events)
            step(*args)
            if len(self.in_force) == len(self.peers):
                until = min(until, max(self.in_force.values()) + 0.5)

    def _schedule(self, at, step, *args):
        self._order += 1
        heapq.heappush(self._events, (at, self._order, step, args))

    def _receive_from_store(self, one, row):
        """Receive the row from the store, which sends it uncompressed."""
        size = len(row.value)
        at = self._transfer(("in", one), size, store_row_s=size / self._bytes_per_s)
        self._schedule(at, self._merge_store_row, one, row)

    def _merge_store_row(self, one, row):
        peer = self._advance_peer(one)
        run_at_once(peer.configuration.apply_row(row, source="store"))
        self._record_in_force(one)

    def _advance_peer(self, one):
        self.peers[one].now = 100.0 + self.now
        return self.peers[one]

    def _record_in_force(self, one):
        """Record when the last version is in force, and send heartbeats then."""
        is_last = self.peers[one].configuration.version == self.last_version
        if one not in self.in_force and is_last:
            self.in_force[one] = self.now + _DECODE_S
            self._schedule(self.now + _DECODE_S, self._send_heartbeats, one)

    def _send_periodic_heartbeats(self, one):
        self._send_heartbeats(one)
        self._schedule(
            self.now + _HEARTBEAT_INTERVAL_S, self._send_periodic_heartbeats, one
        )

    def _send_heartbeats(self, one):
        heartbeat = self._advance_peer(one).instance_state.make_heartbeat()
        size = len(encode_message(heartbeat))
        for other in self._links[one]:
            self._send_bytes(one, other, heartbeat, size)

    def _send(self, one, other, message):
        self._send_bytes(one, other, message, len(encode_message(message)))

    def _send_bytes(self, one, other, message, size):
        at = self._transfer(("out", one), size)
        is_same_centre = self._centres[one] == self._centres[other]
        at += _LATENCY_S if is_same_centre else _REMOTE_LATENCY_S
        self._schedule(at, self._arrive, one, other, message, size)

    def _transfer(self, link, size, store_row_s=0.0):
        """Return when `size` bytes have passed a link, and record how long they waited.

        The transfer time of the row from the store, and the wait of other messages for
        that row, are not counted.
        """
        at = max(self.now, self._free_at.get(link, 0.0)) + size / self._bytes_per_s
        self._free_at[link] = at
        if store_row_s:
            self._store_row_at[link] = at
        else:
            store_row_s = max(0.0, self._store_row_at.get(link, 0.0) - self.now)
        self.waited_s = max(self.waited_s, at - self.now - store_row_s)
        return at

    def _arrive(self, one, other, message, size):
        at = self._transfer(("in", other), size)
        self._schedule(at, self._handle, one, other, message)

    def _handle(self, one, other, message):
        peer = self._advance_peer(other)
        if isinstance(message, Heartbeat):
            for fetch in peer.instance_state.merge_heartbeat(message):
                self._send(other, one, fetch)
        elif isinstance(message, FetchCompressedConfiguration | FetchTargets):
            answer = peer.instance_state.answer(message)
            if answer is not None:
                self._send(other, one, answer)
        elif isinstance(message, CompressedConfiguration):
            name = f"i{other:03}"
            self._send(other, one, ConfigurationReceived(sender=name))
            peer.instance_state.merge_snapshot(message)
            self._record_in_force(other)
        elif isinstance(message, TargetChanges):
            peer.instance_state.merge_snapshot(message)
        elif isinstance(message, ConfigurationDeferred):
            peer.instance_state.record_deferred(message)
            pause_s = DEFER_DURATION_S * self._generator.uniform(1.0, 1.5)
            self._schedule(self.now + pause_s, self._repeat_fetch, other, one, message)
        elif isinstance(message, ConfigurationReceived):
            peer.instance_state.record_received(message)

    def _repeat_fetch(self, one, other, message):
        fetch = self._advance_peer(one).instance_state.repeat_fetch(message.sender)
        if fetch is not None:
            self._send(one, other, fetch)


class ConfigurationSpreadTest(unittest.TestCase):
    def test_large_configuration_reaches_all_and_saturates_no_link(self):
        # The operator added 1,800 routes, and for four seconds healthy streams were cut
        # at instances that had the new version. Instances fetched it from one peer
        # after another while the first answer was still in transit, and those that had
        # it sent it to all that asked at once. That saturated their links and delayed
        # probes of targets. In the incident, ten small instances sent at full bandwidth
        # for a second, and only their readiness checks failed. In this simulation a
        # link's queue was 7.7 s long, and two thirds of 77 instances had no row after
        # 2.5 s.
        cases = [
            ("77 in 3", (26, 26, 25), 2.5),
            ("330 in 19", (18,) * 7 + (17,) * 12, 8.0),
        ]
        for name, sizes, max_s in cases:
            with self.subTest(name):
                fleet = _Fleet(sizes=sizes)
                fleet.run(_make_row(7, 2050), until=max_s)
                found = f"{len(fleet.in_force)} have it, waited {fleet.waited_s:.3f} s"
                self.assertLessEqual(fleet.waited_s, _MAX_WAIT_S, found)
                self.assertEqual(len(fleet.in_force), len(fleet.peers), found)
                self.assertLessEqual(max(fleet.in_force.values()), max_s, found)

    def test_successive_versions_reach_all_over_slow_links(self):
        """Guards against links saturated by copies of several large versions."""
        cases = [
            # Mbit/s, and seconds between two versions
            (10, 1.3),
            (20, 0.3),
            (100, 0.0625),
        ]
        for mbps, interval_s in cases:
            with self.subTest(mbps=mbps, interval_s=interval_s):
                fleet = _Fleet(sizes=(29, 26, 31), link=mbps * 125_000)
                rows = [_make_row(7 + number, 1700) for number in range(4)]
                last_at = 3 * interval_s
                fleet.run(*rows, until=last_at + _MAX_SPREAD_S, interval_s=interval_s)
                found = f"{len(fleet.in_force)} have it, waited {fleet.waited_s:.3f} s"
                self.assertEqual(len(fleet.in_force), len(fleet.peers), found)
                self.assertLessEqual(fleet.waited_s, _MAX_WAIT_S, found)

    def test_large_configuration_reaches_all_through_hubs(self):
        """Guards against a version that arrives after it must be in force."""
        fleet = _Fleet(sizes=(29, 26, 31), has_hubs=True)
        fleet.run(_make_row(7, 2500), until=_MAX_SPREAD_S)
        found = f"{len(fleet.in_force)} have it, waited {fleet.waited_s:.3f} s"
        self.assertEqual(len(fleet.in_force), len(fleet.peers), found)
        self.assertLessEqual(max(fleet.in_force.values()), _MAX_SPREAD_S, found)
