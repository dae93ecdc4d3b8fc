import unittest
from types import SimpleNamespace
from unittest import mock

from fulmarward_router.mesh import (
    CrashReport,
    MemberTable,
    Mesh,
    PatternReport,
    decode_message,
)
from fulmarward_router.mesh._links import _LinkReceiver
from fulmarward_router.mesh._messages import PoisonReport, PoisonSnapshot
from fulmarward_router.mesh.tests.test_members import make_heartbeat
from fulmarward_router.tests._poison import make_poison_knowledge
from fulmarward_router.tests._target_limits import (
    make_leaving_targets,
    make_target_limits,
)


def make_part(name, *targets):
    """Return the report of a pattern under which targets crashed, a second apart."""
    crashes = tuple(
        CrashReport(
            target=target,
            team="t",
            age_ms=1000 * number,
            is_strong=True,
            is_trusted=False,
            is_cleared=False,
        )
        for number, target in enumerate(targets)
    )
    return PatternReport(pattern=name, seen_age_ms=0, crashes=crashes)


class PoisonRelayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        own = make_heartbeat("own").sender
        self.poison = make_poison_knowledge()
        self.mesh = Mesh(
            own=own,
            members=MemberTable(own=own),
            state=None,
            poison=self.poison,
            limits=make_target_limits(),
            leaving=make_leaving_targets(),
            read_clock=lambda: 100.0,
            count_bytes=lambda direction, size: None,
        )
        self.links = [SimpleNamespace(connection=name) for name in ("a", "b", "c")]
        for link in self.links:
            self.mesh._sender._links.append(link)

    async def receive(self, message):
        """Handle a message on the first link; return what is sent on which links."""
        receiver = _LinkReceiver(connection="a", is_accepted=True)
        with mock.patch("fulmarward_router.mesh._links.broadcast") as broadcast:
            await self.mesh._handle_message(receiver, message)
        return [
            (
                connection,
                [pattern.pattern for pattern in decode_message(call.args[1]).patterns],
            )
            for call in broadcast.call_args_list
            for connection in call.args[0]
        ]

    async def test_new_crashes_are_relayed_once_to_all_other_links(self):
        """Guards against instances behind a hub that never learn of a crash."""
        report = PoisonReport(sender="peer", patterns=(make_part("x", "i-1", "i-2"),))
        self.assertEqual(await self.receive(report), [("b", ["x"]), ("c", ["x"])])
        self.assertEqual(await self.receive(report), [])

    async def test_snapshot_is_merged_and_only_that_of_a_current_peer_suffices(self):
        """Guards against two instances that start together and know nothing."""
        patterns = (make_part("x", "i-1", "i-2", "i-3"),)
        with mock.patch.object(self.poison, "record_current") as record_current:
            for is_current in (False, True):
                record_current.assert_not_called()
                snapshot = PoisonSnapshot(
                    sender="peer", is_current=is_current, patterns=patterns
                )
                await self.receive(snapshot)
            record_current.assert_called_once_with()
        self.assertTrue(self.poison.is_blocked("x"))
