"""Orders of late messages on one link, after the one that says when they were made."""

import asyncio
import unittest

from fulmarward_router.mesh import (
    ConfigurationDeferred,
    MemberTable,
    Mesh,
    SupportsCompression,
)
from fulmarward_router.mesh._messages import SendTime, SupportsSendTimes
from fulmarward_router.mesh.tests.test_links import _Link, _State
from fulmarward_router.mesh.tests.test_members import make_heartbeat
from fulmarward_router.tests._poison import make_poison_knowledge
from fulmarward_router.tests._target_limits import (
    make_leaving_targets,
    make_target_limits,
)
from fulmarward_router.tests.test_instance_state import Peer

#: Seconds for which a segment is lost, or a large message arrives in parts.
_GAP_S = 2.0


class _PausingLink(_Link):
    """A link on which `wait` is called before each heartbeat arrives."""

    def __init__(self, messages, calls, *, wait):
        super().__init__(messages, calls, is_broken=False, send_error=None)
        self._wait = wait

    async def __aiter__(self):
        count = 0
        async for data in super().__aiter__():
            count += 1
            if count == len(self._messages):
                self._wait()
            yield data


class LatePartTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now = 100.0
        self.calls = []
        self.state = _State(self.calls)
        own = make_heartbeat("own").sender
        self.mesh = Mesh(
            poison=make_poison_knowledge(),
            limits=make_target_limits(),
            leaving=make_leaving_targets(),
            own=own,
            members=MemberTable(own=own),
            state=self.state,
            read_clock=lambda: self.now,
            count_bytes=lambda direction, size: None,
        )

    def _wait(self):
        self.now += _GAP_S

    async def test_heartbeat_that_follows_its_send_time_late_is_late(self):
        """The send time arrives at once, the segment after it is lost and repeated."""
        messages = (
            SupportsSendTimes(sender="peer", boot=1),
            SendTime(sent_ms=100_000, offset_ms=0),
            make_heartbeat("peer"),
        )
        await self.mesh.accept(_PausingLink(messages, self.calls, wait=self._wait))
        self.assertGreaterEqual(self.state.delays[-1], _GAP_S)

    async def test_instance_whose_link_was_late_does_not_count_as_heard_now(self):
        """Guards against a silent instance that keeps its duties and its callers."""
        messages = (
            SupportsSendTimes(sender="peer", boot=1),
            SendTime(sent_ms=90_000, offset_ms=0),
            make_heartbeat("peer"),
        )
        self.mesh._members.merge_members([make_heartbeat("peer").sender], now=80.0)
        await self.mesh.accept(_Link(messages, [], is_broken=False, send_error=None))
        self.assertEqual(self.state.delays, [10.0])
        self.assertEqual(self.mesh._members.list_fresh(now=self.now), [])


class ClosedLinkTest(unittest.IsolatedAsyncioTestCase):
    async def test_fetch_is_not_repeated_on_a_link_that_has_closed(self):
        """Guards against a fetch that is never sent but keeps others from starting."""
        one = Peer("one")
        mesh = Mesh(
            poison=make_poison_knowledge(),
            limits=make_target_limits(),
            leaving=make_leaving_targets(),
            own=make_heartbeat("one").sender,
            members=one.members,
            state=one.instance_state,
            read_clock=lambda: one.now,
            count_bytes=lambda direction, size: None,
        )
        for name in ("first", "second"):
            supports = SupportsCompression(sender=name, boot=1)
            one.instance_state.record_supports_compression(supports)
        first = make_heartbeat("first", configuration_version=2, targets_version=0)
        self.assertEqual(len(one.instance_state.merge_heartbeat(first)), 1)
        deferred = ConfigurationDeferred(sender="first")
        await mesh.accept(_Link([deferred], [], is_broken=True, send_error=None))
        one.now += 0.2
        await asyncio.sleep(0.2)
        second = make_heartbeat("second", configuration_version=2, targets_version=0)
        self.assertEqual(len(one.instance_state.merge_heartbeat(second)), 1)
