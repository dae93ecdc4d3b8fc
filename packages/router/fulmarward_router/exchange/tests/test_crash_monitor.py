import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

from fulmarward_core.poison import find_head_fingerprint
from fulmarward_core.results import ResultCode
from fulmarward_router.exchange._attempt import AttemptFailed, Progress
from fulmarward_router.exchange._crash_monitor import CrashMonitor
from fulmarward_router.exchange._request_state import (
    RejectedRequest,
    TruncatedResponse,
)
from fulmarward_router.state import PoisonKnowledge


class _Catalogue:
    def __init__(self, target):
        self._target = target

    def find_target(self, name):
        return self._target

    def has_ended(self, target):
        return self.find_target(target.name).process_name != target.process_name


class CrashMonitorTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now = 100.0
        self.fetches = []
        self.notified = []
        self.written = []
        self.poison = PoisonKnowledge(
            read_clock=lambda: self.now,
            notify_peers=self.notified.append,
            fetch_from_peers=lambda: self.fetches.append(self.now),
            record_block_changed=self.written.append,
        )
        self.start()

    def start(self, *, has_ended=True, is_leaving=False, is_reached=True):
        """Make the monitor of an instance before one target, which may have ended."""
        self.detector = SimpleNamespace(probe_again=mock.AsyncMock())
        self.record = SimpleNamespace(name="", process_name="i", is_leaving=is_leaving)
        context = SimpleNamespace(
            poison=self.poison,
            catalogue=_Catalogue(self.record),
            suspicions=SimpleNamespace(is_unreachable=lambda name, now: has_ended),
            contacts=SimpleNamespace(is_reached=lambda service: is_reached),
            read_clock=lambda: self.now,
            make_rejection=lambda state, cause, retry_after_s: RejectedRequest(
                ResultCode.OUTCOME_UNKNOWN, cause=cause
            ),
        )
        self.monitor = CrashMonitor(
            context=context,
            failure_detector=self.detector,
            count_crash=lambda service, progress: None,
        )

    def make_state(
        self,
        *,
        runs=0,
        has_begun=False,
        is_proven=False,
        parts=("x",),
        fingerprint="request:a-0",
    ):
        return SimpleNamespace(
            facts=SimpleNamespace(request_id="r", shared_parts=parts),
            team_name="",
            request=SimpleNamespace(method="POST", raw_path="/"),
            headers={},
            body=fingerprint.encode(),
            head_fingerprint=find_head_fingerprint(fingerprint),
            fingerprint=fingerprint,
            service="pool",
            runs=runs,
            attempts=runs,
            has_begun=has_begun,
            is_proven=is_proven,
            count_left=lambda now: 5.0,
        )

    async def crash(
        self, number, *, events=0, is_broken_off=True, silent_s=0.0, **request
    ):
        """Break off an attempt at a target, whose response had started.

        By default each request has another body.
        """
        self.now += 1.0
        state = self.make_state(**{"fingerprint": f"request:a-{number}", **request})
        attempt = SimpleNamespace(
            record=SimpleNamespace(name=f"i-{number}", process_name=f"i-{number}"),
            events=events,
            is_proven=False,
            progress=Progress.EVENTS if events else Progress.NO_EVENT,
            last_activity_at=self.now - silent_s,
        )
        failure = AttemptFailed(cause="", is_not_run=False, is_broken_off=is_broken_off)
        self.monitor.record_events(state, attempt)
        self.record.process_name = f"i-{number}"
        await self.monitor.examine_attempt(state, attempt, failure)

    async def test_request_waits_for_the_records_of_a_peer(self):
        """Guards against an instance that learns by crashing another target."""
        running = asyncio.create_task(self.poison.run())
        self.addCleanup(running.cancel)
        await asyncio.sleep(0)
        admitted = asyncio.create_task(self.monitor.admit(self.make_state()))
        await asyncio.sleep(0)
        for number in range(3):
            await self.crash(number)
        self.assertFalse(admitted.done())
        self.poison.record_current()
        with self.assertRaises(RejectedRequest):
            await admitted
        self.assertEqual(self.fetches, [100.0])

    async def test_request_waits_again_after_a_pause_of_the_instance(self):
        """Guards against an instance that wakes up with what it knew before."""
        self.poison.record_current()
        await self.monitor.admit(self.make_state())
        self.now += 5.0
        admitted = asyncio.create_task(self.monitor.admit(self.make_state()))
        await asyncio.sleep(0)
        self.assertFalse(admitted.done())
        self.assertEqual(self.fetches, [105.0])
        self.poison.record_current()
        await admitted

    async def test_answers(self):
        cases = [
            (2, {}, ResultCode.PROMPT_SUSPENDED),
            (3, {}, ResultCode.PROMPT_BLOCKED),
            (2, {"runs": 1}, ResultCode.OUTCOME_UNKNOWN),
            (3, {"runs": 1}, ResultCode.PROMPT_CRASHED),
        ]
        for crashes, state, code in cases:
            with self.subTest(crashes=crashes, **state):
                self.setUp()
                for number in range(crashes):
                    await self.crash(number)
                with self.assertRaises(RejectedRequest) as caught:
                    self.monitor.check(self.make_state(**state))
                self.assertEqual(caught.exception.code, code)
                has_delay = caught.exception.retry_after_s is not None
                self.assertEqual(has_delay, code is ResultCode.PROMPT_SUSPENDED)
                with self.assertRaises(TruncatedResponse):
                    self.monitor.check(self.make_state(**state, has_begun=True))
                self.monitor.check(self.make_state(parts=("y",)))

    async def check_when_cleared(self, *, crashes, wait_s, **request):
        """Check a started response after crashes; return the seconds it waited."""
        for number in range(crashes):
            await self.crash(number)
        began_at = self.now

        async def sleep(duration_s):
            self.now += duration_s

        with mock.patch.object(asyncio, "sleep", sleep):
            await self.monitor.await_clearance(
                self.make_state(has_begun=True, **request), until=began_at + wait_s
            )
        return self.now - began_at

    async def test_started_response_waits_for_the_end_of_a_suspension(self):
        """Guards against a stream that is cut though its caller waits long enough."""
        waited_s = await self.check_when_cleared(crashes=2, wait_s=9.0)
        self.assertGreater(waited_s, 0.0)
        self.assertLess(waited_s, 3.0)

    async def test_started_response_is_cut_when_its_caller_is_about_to_leave(self):
        """Guards against a stream that waits on after its caller has given it up."""
        with self.assertRaises(TruncatedResponse):
            await self.check_when_cleared(crashes=2, wait_s=0.5)

    async def test_started_response_with_a_blocked_part_does_not_wait(self):
        """Guards against a stream that waits for what does not end."""
        began_at = self.now
        with self.assertRaises(TruncatedResponse):
            await self.check_when_cleared(crashes=3, wait_s=9.0)
        self.assertEqual(self.now - began_at, 3.0)

    async def test_proven_response_is_not_cut_for_a_blocked_part(self):
        """Guards against a stream that is cut for the crashes of other requests."""
        request = {"crashes": 3, "wait_s": 9.0, "is_proven": True}
        self.assertEqual(await self.check_when_cleared(**request), 0.0)

    async def test_whole_request_that_crashes_targets_is_rejected(self):
        """Guards against a request that has no part of its own to be known by."""
        cases = [
            ("without parts", {"parts": ()}, {}),
            ("with a sound part", {}, {}),
            ("while no other target is reached", {}, {"is_reached": False}),
        ]
        for name, request, instance in cases:
            with self.subTest(name):
                self.setUp()
                self.start(**instance)
                sound = self.make_state(fingerprint="request:a-9", **request)
                same = {"fingerprint": "request:a-0", **request}
                for number in range(3):
                    self.monitor.check(self.make_state(**same))
                    await self.crash(number, **same)
                    self.monitor.record_proven(sound)
                for runs, code in [
                    (0, ResultCode.REQUEST_BLOCKED),
                    (1, ResultCode.REQUEST_CRASHED),
                ]:
                    with self.assertRaises(RejectedRequest) as caught:
                        self.monitor.check(self.make_state(runs=runs, **same))
                    self.assertEqual(caught.exception.code, code)
                    self.assertIsNone(caught.exception.retry_after_s)
                self.monitor.check(sound)
                self.monitor.record_proven(self.make_state(**same))
                self.monitor.check(self.make_state(**same))

    async def test_request_that_was_answered_a_moment_ago_is_trusted(self):
        """Guards against a popular request that is in flight whenever targets end."""
        self.monitor.record_proven(self.make_state(fingerprint="request:a-0"))
        for number in range(3):
            await self.crash(number, fingerprint="request:a-0")
        self.monitor.check(self.make_state(fingerprint="request:a-0"))
        for number in range(3, 6):
            await self.crash(number, fingerprint="request:a-0")
        with self.assertRaises(RejectedRequest):
            self.monitor.check(self.make_state(fingerprint="request:a-0"))

    async def test_process_that_started_again_under_its_name_has_ended(self):
        """Guards against a crash that is not seen as the target is back at once."""
        self.start(has_ended=False)
        for number in range(3):
            await self.crash(number, fingerprint="request:a-0")
        self.assertEqual(self.poison.findings, ())
        with mock.patch.object(self.detector, "probe_again") as probe_again:
            probe_again.side_effect = lambda target, timeout_s: setattr(
                self.record, "process_name", "started again"
            )
            for number in range(3):
                await self.crash(number, fingerprint="request:a-0")
        self.assertEqual(len(self.poison.findings), 1)

    async def test_only_crashes_under_unproven_requests_count(self):
        """Guards against parts that are accused by failures of another kind."""
        cases = [
            ({"has_ended": False}, {}),
            ({"is_leaving": True}, {}),
            ({"is_reached": False}, {"silent_s": 2.0}),
            ({}, {"events": 4}),
            ({}, {"is_broken_off": False}),
        ]
        for instance, crash in cases:
            with self.subTest(**instance, **crash):
                self.start(**instance)
                for number in range(4):
                    await self.crash(number, **crash)
                self.assertEqual(self.poison.findings, ())

    async def test_peers_are_notified_once_of_what_changes_together(self):
        await self.crash(1)
        self.poison.record_crash(
            target="i-1", team="", patterns=["w", "x"], is_strong=True, at=self.now
        )
        await asyncio.sleep(0.05)
        self.assertEqual(self.notified, [["request:a-1", "w", "x"]])

    async def test_block_that_a_peers_crash_completes_is_written(self):
        """Guards against a block that no instance takes for its own to write."""
        peer = PoisonKnowledge(
            read_clock=lambda: self.now,
            notify_peers=lambda patterns: None,
            fetch_from_peers=lambda: None,
            record_block_changed=lambda patterns: None,
        )
        await self.crash(1)
        for number in (2, 3):
            self.now += 1.0
            peer.record_crash(
                target=f"i-{number}",
                team="",
                patterns=["x"],
                is_strong=True,
                at=self.now,
            )
        self.poison.merge(peer.make_reports(), source="peer", delay_s=0.0)
        self.assertIn(["x"], self.written)
