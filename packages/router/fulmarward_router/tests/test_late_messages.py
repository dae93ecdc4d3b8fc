"""Orders of late messages between a reader of the store and an instance that routes."""

import unittest
from itertools import pairwise
from unittest import mock

from hypothesis import Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from fulmarward_router.exchange import _caller_handler
from fulmarward_router.mesh import (
    ConfigurationDeferred,
    ConfigurationReceived,
    FetchTargets,
    Heartbeat,
)
from fulmarward_router.mesh._heartbeats import PING_INTERVAL_S, PING_TIMEOUT_S
from fulmarward_router.ports import Row
from fulmarward_router.tests._routing_peer import (
    CONFIGURATION_S,
    DRAIN_S,
    RoutingPeer,
    make_configuration_row,
    make_target_row,
)

_DENIED = (401, 403, 404)

#: Longest time in seconds for which a link delays messages before it is ended: a pong
#: was received just before the delay began.
_MAX_LINK_DELAY_S = PING_INTERVAL_S + PING_TIMEOUT_S

#: Seconds by which an event comes after the one before.
_PAUSES = st.sampled_from((0.0, 0.1, 1.0, 1.5))

_TARGETS = ("t1", "t2", "t3")


class _LinkMachine(RuleBasedStateMachine):
    """A reader that the store answers at once, and an instance behind a slow link."""

    #: Longest delay of a message in seconds.
    max_delay_s = _MAX_LINK_DELAY_S

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.reader = RoutingPeer("reader")
        self.peer = RoutingPeer("peer")
        self.peer.record_compression_support(self.reader)
        #: Messages on the link in order, each with the time at which it was sent.
        self.link = []
        #: Acknowledgement of the newest configuration, and of each target's leaving.
        self.version = 1
        self.changed_at = self.now
        self.left_at = {}
        self.store_version = 4

    @initialize()
    def both_have_heard_the_store(self):
        rows = [make_target_row(name, 2 + n) for n, name in enumerate(_TARGETS)]
        for one in (self.reader, self.peer):
            one.read_configuration(make_configuration_row(1))
            one.read_targets(rows, self.store_version)

    def _follow_store(self):
        self.reader.read_configuration(make_configuration_row(self.version))
        self.reader.read_targets([], self.store_version)

    def _send(self, message):
        self.link.append((self.now, message))

    def _wait(self, duration_s):
        self.now += duration_s
        self.reader.now = self.peer.now = self.now

    @rule(after_s=_PAUSES)
    def reader_sends_heartbeat(self, after_s):
        self._wait(after_s)
        self._follow_store()
        self._send(self.reader.instance_state.make_heartbeat())

    @precondition(lambda self: self.link)
    @rule(after_s=_PAUSES)
    def link_delivers(self, after_s):
        self._wait(after_s)
        sent_at, message = self.link.pop(0)
        if self.now - sent_at > self.max_delay_s:
            # The link was ended meanwhile, and what it held is lost.
            self.link.clear()
            return
        if isinstance(message, ConfigurationDeferred):
            self.peer.instance_state.record_deferred(message)
            return
        delay_s = self.now - sent_at
        if not isinstance(message, Heartbeat):
            self.peer.instance_state.merge_snapshot(message, delay_s=delay_s)
            received = ConfigurationReceived(sender="peer")
            self.reader.instance_state.record_received(received)
            return
        merge_heartbeat = self.peer.instance_state.merge_heartbeat
        for fetch in merge_heartbeat(message, delay_s=delay_s):
            answer = self.reader.instance_state.answer(fetch)
            if answer is not None:
                self._send(answer)

    @precondition(lambda self: self.version < 3)
    @rule(after_s=_PAUSES)
    def operator_replaces_configuration(self, after_s):
        self._wait(after_s)
        self.version += 1
        self.changed_at = self.now
        self.reader.read_configuration(make_configuration_row(self.version))


class _DenialMachine(_LinkMachine):
    @precondition(lambda self: self.version > 1)
    @rule()
    def caller_requests_the_newest_route(self):
        """The request is sent once the route must be known, if no more is heard."""
        self.peer.now = max(self.now, self.changed_at + CONFIGURATION_S + 0.05)
        status, _ = self.peer.request(f"/v{self.version}/x")
        self.peer.now = self.now
        assert status not in _DENIED, f"{status} for a route that is in force"


class _ShortDelayMachine(_DenialMachine):
    #: The difference between the age up to which a denial is final and the time in
    #: which a configuration must be in force.
    max_delay_s = CONFIGURATION_S - _caller_handler.MAX_CONFIRMATION_AGE_S


_SETTINGS = settings(
    max_examples=200,
    stateful_step_count=8,
    phases=(Phase.generate, Phase.shrink),
    deadline=None,
    derandomize=True,
    database=None,
)


class ShortDelayTest(unittest.TestCase):
    def test_delay_of_up_to_a_second_denies_no_route_that_is_in_force(self):
        """A heartbeat up to 1 s late, a new route, a request for it 3 s later."""
        _run(_ShortDelayMachine)

    def test_without_the_age_limit_the_same_delays_deny(self):
        """The control: the orders above reach the guard that they are held by."""
        with mock.patch.object(_caller_handler, "MAX_CONFIRMATION_AGE_S", 60.0):
            with self.assertRaises(AssertionError):
                _run(_ShortDelayMachine)


def _run(machine):
    case = machine.TestCase("runTest")
    machine.TestCase.settings = _SETTINGS
    case.runTest()


class LateConfirmationTest(unittest.TestCase):
    def test_late_heartbeat_denies_no_route_that_is_in_force(self):
        """A heartbeat as late as a link allows, a new route, a request 3 s later."""
        _run(_DenialMachine)


class KnownToBeBehindTest(unittest.TestCase):
    """A peer has reported a newer version, and its answer does not come."""

    def setUp(self):
        self.reader, self.peer = RoutingPeer("reader"), RoutingPeer("peer")
        rows = [make_target_row(name, 2 + n) for n, name in enumerate(_TARGETS)]
        for one in (self.reader, self.peer):
            one.read_configuration(make_configuration_row(1))
            one.read_targets(rows, 4)

    def hear_reader(self, *, seconds):
        """Receive heartbeats, while the answers to fetches are held back."""
        for _ in range(int(seconds * 10)):
            self.peer.now += 0.1
            self.reader.now += 0.1
            self.reader.read_targets([], self.reader.catalogue.version)
            self.peer.instance_state.merge_heartbeat(
                self.reader.instance_state.make_heartbeat()
            )

    def test_target_that_left_gets_nothing_from_an_instance_known_to_be_behind(self):
        """A leaving, heartbeats that report a change, its row 3 s late, a request."""
        self.reader.read_targets([make_target_row("t1", 5, is_leaving=True)], 5)
        self.hear_reader(seconds=DRAIN_S + 0.2)
        _, reached = self.peer.request("/v1/x")
        self.assertNotIn("t1", reached)

    def test_dropped_key_runs_nothing_at_an_instance_known_to_be_behind(self):
        """A key is dropped, heartbeats that report it, its row 3 s late, a request."""
        self.reader.read_configuration(make_configuration_row(2))
        self.hear_reader(seconds=CONFIGURATION_S + 0.2)
        status, reached = self.peer.request("/keyed/x", key="k1")
        self.assertEqual((status, reached), (503, []))

    def test_new_key_is_not_denied_by_an_instance_known_to_be_behind(self):
        """A key is added, heartbeats that report it, its row 3 s late, a request."""
        self.reader.read_configuration(make_configuration_row(2))
        self.hear_reader(seconds=CONFIGURATION_S + 0.2)
        self.assertEqual(self.peer.request("/keyed/x", key="k2"), (503, []))


class SilenceTest(unittest.TestCase):
    """Nothing is heard, neither from the store nor from a peer."""

    def setUp(self):
        self.peer = RoutingPeer("peer")
        self.peer.read_configuration(make_configuration_row(1))
        rows = [make_target_row(name, 2 + n) for n, name in enumerate(_TARGETS)]
        self.peer.read_targets(rows, 4)
        self.peer.now += DRAIN_S + 0.2

    def test_target_that_left_gets_nothing_after_a_silence(self):
        """All answers and heartbeats 3 s late, a leaving in their time, a request."""
        _, reached = self.peer.request("/v1/x")
        self.assertNotIn("t1", reached)

    def test_new_key_is_not_denied_after_a_silence(self):
        """All answers and heartbeats 3 s late, a new key in their time, a request."""
        self.assertEqual(self.peer.request("/keyed/x", key="k2"), (503, []))


class RemovalTest(unittest.TestCase):
    """A target is removed while the store is sound."""

    def setUp(self):
        self.peer = RoutingPeer("peer")
        self.peer.read_configuration(make_configuration_row(1))
        rows = [make_target_row(name, 2 + n) for n, name in enumerate(_TARGETS)]
        self.peer.read_targets(rows, 4)

    def request_after_removal(self, *, heard_after_s):
        """Return the targets reached 3 s after a removal that is heard late."""
        removed_at = self.peer.now
        self.peer.now = removed_at + heard_after_s
        self.peer.read_targets([Row(key="t1", value=None, version=6)], 6)
        self.peer.now = removed_at + DRAIN_S + 0.05
        self.peer.read_targets([], 6)
        return self.peer.request("/v1/x")[1]

    def test_removed_target_gets_nothing_if_its_removal_is_heard_late(self):
        """A removal, its row 1.5 s late, a request 3 s after the removal."""
        self.assertNotIn("t1", self.request_after_removal(heard_after_s=1.5))

    def test_removed_target_gets_nothing_after_a_gap_of_the_own_link(self):
        """A removal, nothing heard for 2.2 s, its row, a request 3 s after it."""
        self.assertNotIn("t1", self.request_after_removal(heard_after_s=2.2))

    def test_target_known_to_leave_gets_nothing_when_its_row_expires(self):
        """A leaving, an outage of the store, the row expires in it, a request."""
        self.peer.read_targets([make_target_row("t1", 5, is_leaving=True)], 5)
        self.assertNotIn("t1", self.request_after_removal(heard_after_s=3.0))

    def test_removed_target_gets_nothing_after_late_rows_of_a_peer(self):
        """A removal, a row from before it that a peer sent late, a request."""
        late = RoutingPeer("late")
        rows = [make_target_row(name, 2 + n) for n, name in enumerate(_TARGETS)]
        late.read_targets(rows, 4)
        changes = late.instance_state.answer(FetchTargets(after=0))
        self.peer.read_targets([Row(key="t1", value=None, version=5)], 5)
        self.peer.instance_state.merge_snapshot(changes)
        self.peer.now += DRAIN_S + 0.05
        self.peer.read_targets([], 5)
        self.assertNotIn("t1", self.peer.request("/v1/x")[1])


class RelayedConfirmationTest(unittest.TestCase):
    def request_after_relays(self, *, delay_s):
        """Return the status for a new route after three hops, each `delay_s` late."""
        chain = [RoutingPeer(name) for name in ("reader", "hub", "other", "peer")]
        for one in chain:
            one.read_configuration(make_configuration_row(1))
        changed_at = chain[0].now
        for sender, receiver in pairwise(chain):
            heartbeat = sender.instance_state.make_heartbeat()
            for one in chain:
                one.now += delay_s
            receiver.instance_state.merge_heartbeat(heartbeat, delay_s=delay_s)
        chain[-1].now = changed_at + CONFIGURATION_S + 0.05
        return chain[-1].request("/v2/x")[0]

    def test_heartbeats_relayed_without_delay_deny_no_route_that_is_in_force(self):
        """Three hops 0.1 s late each, a new route, a request for it 3 s later."""
        self.assertEqual(self.request_after_relays(delay_s=0.1), 503)

    def test_relayed_late_heartbeats_deny_no_route_that_is_in_force(self):
        """Three hops 0.5 s late each, a new route, a request for it 3 s later."""
        self.assertEqual(self.request_after_relays(delay_s=0.5), 503)
