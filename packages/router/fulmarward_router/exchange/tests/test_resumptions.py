"""Streams that are resumed while the attempt that fell silent stays open."""

import asyncio

from fulmarward_core.isolation import RelayPeer
from fulmarward_core.suspicion import FailureKind
from fulmarward_router.exchange._admission import CALLER_TIMEOUT_S
from fulmarward_router.exchange._attempt import AttemptFailed, EndedBy
from fulmarward_router.exchange._send import NotSent
from fulmarward_router.exchange.tests.test_ended_streams import _EndedStreamTest
from fulmarward_router.exchange.tests.test_late_streams import _Stream

#: Seconds for which a silent attempt is watched after another was tried beside it.
_WATCH_S = 0.3


class _SilentStreamTest(_EndedStreamTest):
    async def begin_silent(self, **options):
        """Begin a stream whose first target falls silent after one event."""
        self.begin(**options)
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        self.silence(self.calls[0].target)

    def silence(self, target):
        self.dialect.silent.add(target)
        self.suspicions.record_failure(
            target, now=self.read_clock(), kind=FailureKind.SILENT
        )

    def is_closed(self, attempt):
        """Return whether the instance has closed the response of an attempt."""
        return None in self.streams[attempt - 1].events._queue

    async def await_closed(self, attempt):
        async with asyncio.timeout(1.0):
            while not self.is_closed(attempt):
                await asyncio.sleep(0.01)


class OpenAttemptTest(_SilentStreamTest):
    async def test_stream_goes_on_at_its_target_after_another_has_refused_it(self):
        """Guards against a stream that is given up for a target that rejects it."""
        self.statuses = [200, *[421] * 100]
        await self.begin_silent()
        await self.await_attempt(2)
        await asyncio.sleep(_WATCH_S)
        self.assertFalse(self.is_closed(1))
        await self.check_completes(attempt=1)

    async def test_answered_targets_are_forgotten(self):
        """Guards against a table with each target that was ever asked."""
        self.statuses = [200, 421]
        await self.begin_silent()
        await self.await_attempt(3)
        await self.check_completes(attempt=1)
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.service._resumer._unanswered), 0)

    async def test_stream_goes_on_at_its_target_if_another_brings_no_event(self):
        """Guards against a stream that is given up for a target that is silent too."""
        await self.begin_silent()
        await self.await_attempt(2)
        await asyncio.sleep(_WATCH_S)
        self.assertFalse(self.is_closed(1))
        await self.send(2, attempt=1)
        await self.await_closed(2)
        await self.check_completes(attempt=1)

    async def test_stream_goes_on_at_its_target_if_another_has_no_response(self):
        """Guards against a stream that waits for a target that does not respond."""
        self.statuses = [200, None]
        await self.begin_silent()
        await self.await_attempt(2)
        await self.check_completes(attempt=1)

    async def test_stream_stays_at_its_target_if_the_chosen_path_is_gone(self):
        """Guards against a stream that is given up for a path that was just there."""
        self.begin()
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        choose = self.service._paths.finder.choose
        found = []

        def choose_once(*args, **options):
            # It is found by the question whether there is one, and never again.
            found.append(None if found else choose(*args, **options))
            return found[-1]

        self.service._paths.finder.choose = choose_once
        self.silence(self.calls[0].target)
        await asyncio.sleep(2 * _WATCH_S)
        self.assertGreater(len(found), 1)
        self.assertFalse(self.is_closed(1))
        await self.check_completes(attempt=1)

    async def test_refused_resumptions_beside_an_open_attempt_are_spaced(self):
        """Guards against a silent stream that takes the retries of all others."""
        self.statuses = [200, *[421] * 100]
        await self.begin_silent(targets=30)
        await asyncio.sleep(0.6)
        self.assertLessEqual(len(self.calls), 6)


class HandoverTest(_SilentStreamTest):
    async def test_attempt_is_closed_once_another_has_brought_an_event(self):
        """Guards against a target that works on for nobody."""
        await self.begin_silent()
        await self.await_attempt(2)
        await self.send(2, attempt=2)
        await self.await_closed(1)
        await self.check_completes(attempt=2)
        self.assertEqual(self.request["answer"].received.count(b"id: 2\n"), 1)

    async def test_late_event_of_the_closed_attempt_is_not_sent_twice(self):
        """Guards against a piece that the caller gets from two targets."""
        await self.begin_silent()
        await self.await_attempt(2)
        for attempt in (2, 1):
            self.streams[attempt - 1].events.put_nowait(b"id: 2\ndata: x\n\n")
        await asyncio.sleep(_WATCH_S)
        self.assertEqual(self.request["answer"].received.count(b"id: 2\n"), 1)
        self.assertNotEqual(self.is_closed(1), self.is_closed(2))

    async def test_resumption_is_used_if_the_silent_attempt_breaks_off(self):
        """Guards against a third run while the second is about to answer."""
        await self.begin_silent()
        await self.await_attempt(2)
        await self.lose(1, removed=False)
        await asyncio.sleep(_WATCH_S)
        await self.send(2, attempt=2)
        await self.check_completes(attempt=2)
        self.assertEqual(len(self.calls), 2)

    async def test_second_resumption_follows_the_first(self):
        """Guards against a stream that can be resumed only once."""
        await self.begin_silent(most_attempts=3)
        await self.await_attempt(2)
        await self.send(2, attempt=2)
        self.silence(self.calls[1].target)
        await self.await_attempt(3)
        await self.send(3, attempt=3)
        await self.await_closed(2)
        await self.check_completes(attempt=3)

    async def test_both_attempts_are_closed_once_the_caller_leaves(self):
        """Guards against targets that work on after the caller has left."""
        await self.begin_silent()
        await self.await_attempt(2)
        self.serving.cancel()
        for attempt in (1, 2):
            await self.await_closed(attempt)
        loads = self.service._ledger.sum_loads(now=self.read_clock())
        self.assertFalse(any(load.running for load in loads.values()))

    async def test_both_attempts_are_closed_at_the_deadline(self):
        """Guards against an attempt that outlives its request."""
        await self.begin_silent()
        await self.await_attempt(2)
        [attempt] = self.service.supervisor._attempts.values()
        attempt.state.deadline = self.read_clock()
        failure = AttemptFailed(
            cause="deadline", is_not_run=False, ended_by=EndedBy.DEADLINE
        )
        attempt.abort(failure)
        for number in (1, 2):
            await self.await_closed(number)

    async def test_runs_of_both_attempts_count(self):
        """Guards against more targets than the route allows."""
        await self.begin_silent()
        await self.await_attempt(2)
        self.streams[1].events.put_nowait(b": opened\n\n")
        await asyncio.sleep(_WATCH_S)
        await self.send(2, attempt=1)
        await self.await_closed(2)
        self.silence(self.calls[0].target)
        await asyncio.sleep(2 * _WATCH_S)
        self.assertLessEqual(len({call.target for call in self.calls}), 2)
        await self.check_completes(attempt=1)


class SilentSuccessorTest(_SilentStreamTest):
    async def test_stream_is_resumed_again_if_the_next_target_is_lost_too(self):
        """Guards against a stream that waits for the second of two lost targets."""
        await self.begin_silent(most_attempts=3)
        await self.await_attempt(2)
        self.silence(self.calls[1].target)
        await self.await_attempt(3)
        await self.await_closed(2)
        self.assertFalse(self.is_closed(1))
        await self.send(2, attempt=3)
        await self.check_completes(attempt=3)

    async def test_stream_is_resumed_again_if_the_next_target_sends_nothing(self):
        """Guards against a stream that waits for a target until its caller leaves."""
        await self.begin_silent(most_attempts=3)
        await self.await_attempt(2)
        began_at = self.read_clock()
        await self.await_attempt(3)
        self.assertLess(self.read_clock() - began_at, CALLER_TIMEOUT_S)
        await self.check_completes(attempt=3)


class HerdTest(_SilentStreamTest):
    async def test_silent_streams_are_not_all_sent_to_one_target(self):
        """Guards against a target that must reject what one silence sends it."""
        self.statuses = [200] * 6 + [None] * 100
        self.begin(targets=1, most_attempts=3)
        others = [self.serve() for _ in range(5)]
        await self.await_attempt(6)
        for attempt in range(1, 7):
            self.streams[attempt - 1].events.put_nowait(b"id: 1\ndata: x\n\n")
        await asyncio.sleep(0.1)
        for number in (2, 3, 4):
            self.list_target(f"t{number}", f"h:{number}", (0, 2))
        self.silence("t1")
        await asyncio.sleep(2 * _WATCH_S)
        sent = [call.target for call in self.calls[6:]]
        self.assertTrue(sent)
        self.assertEqual(len(sent), len(set(sent)), "one target got two of them")
        self.assertFalse(any(serving.done() for serving, _ in others))


class StalledLoopTest(_SilentStreamTest):
    async def test_events_that_have_arrived_go_before_a_resumption(self):
        """Guards against a retry for a silence of this instance's own event loop."""
        self.begin()
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        self.skipped_s += 1.75
        self.streams[0].events.put_nowait(b"id: 2\ndata: x\n\n")
        await asyncio.sleep(_WATCH_S)
        self.assertEqual(len(self.calls), 1)
        budget = self.service._context.find_budget("pool")
        self.assertEqual(budget.count(share=1.0, now=self.read_clock()).used, 0)
        await self.check_completes(attempt=1)


class _CutOffTest(_SilentStreamTest):
    """A stream whose instance reaches no target of its service any more."""

    async def begin_cut_off(self, open_relay):
        self.begin()
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        self.peer_calls = []
        self.open_relay = open_relay
        self.dialect.make_relay_headers = lambda headers, **facts: []
        self.service._client.open_relay = self.count_relay
        peer = RelayPeer(name="two", data_centre="a", address="h:9")
        self.service._relay._list_peers = lambda: [peer]
        self.service.supervisor._has_peers = lambda: True
        contacts = self.service._context.contacts
        contacts.is_reached = lambda service: False
        contacts.is_unreached_for_certain = lambda service, now: True
        self.silence(self.calls[0].target)

    async def count_relay(self, state, address, headers):
        self.peer_calls.append(address)
        return await self.open_relay()

    async def await_peer(self):
        async with asyncio.timeout(2.0):
            while not self.peer_calls:
                await asyncio.sleep(0.01)
        await asyncio.sleep(_WATCH_S)


class PeerTest(_CutOffTest):
    async def test_stream_goes_on_at_its_target_if_no_peer_takes_it(self):
        """Guards against a stream that is given up for a peer that does not serve."""

        async def refuse():
            raise NotSent("refused")

        await self.begin_cut_off(refuse)
        await self.await_peer()
        self.assertFalse(self.is_closed(1))
        budget = self.service._context.find_budget("pool")
        self.assertEqual(budget.count(share=1.0, now=self.read_clock()).used, 0)
        await self.check_completes(attempt=1)

    async def test_stream_goes_on_at_a_peer_once_that_has_sent_an_event(self):
        """Guards against a target that is closed before its stream goes on."""
        stream = _Stream()

        async def open_stream():
            return stream

        await self.begin_cut_off(open_stream)
        await self.await_peer()
        self.assertFalse(self.is_closed(1))
        for event in (b"id: 2\ndata: x\n\n", b"id: 3\ndata: x\n\n", b""):
            stream.events.put_nowait(event)
        await asyncio.wait([self.serving], timeout=2.0)
        self.assertTrue(self.request["answer"].is_complete)
        self.assertIn(b"id: 3\n", self.request["answer"].received)
        self.assertTrue(self.is_closed(1))

    async def test_response_of_a_peer_is_closed_if_its_target_goes_on(self):
        """Guards against a peer that works on for nobody."""
        stream = _Stream()

        async def open_stream():
            return stream

        await self.begin_cut_off(open_stream)
        await self.await_peer()
        await self.check_completes(attempt=1)
        self.assertIn(None, stream.events._queue)


class AvoidedTargetTest(_SilentStreamTest):
    async def test_target_that_had_yet_to_answer_another_stream_is_used_later(self):
        """Guards against a target that a stream avoids for good without a fault."""
        self.begin(targets=3, most_attempts=3)
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        names = {"t1", "t2", "t3"} - {self.calls[0].target}
        unanswered = min(names)
        self.service._resumer._unanswered[unanswered] += 1
        self.silence(self.calls[0].target)
        await self.await_attempt(2)
        await self.send(2, attempt=2)
        del self.service._resumer._unanswered[unanswered]
        self.silence(self.calls[1].target)
        await self.await_attempt(3)
        self.assertEqual(self.calls[2].target, unanswered)
        await self.check_completes(attempt=3)
