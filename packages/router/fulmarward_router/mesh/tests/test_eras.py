import time
import unittest

from fulmarward_core.store_versions import make_store_version
from fulmarward_router.mesh import (
    CompressedConfiguration,
    ConfigurationSnapshot,
    FetchTargets,
    MemberTable,
    Mesh,
    RowSnapshot,
    TargetChanges,
    decode_message,
    encode_message,
)
from fulmarward_router.mesh._eras import remove_eras
from fulmarward_router.mesh._messages import FleetReport, SupportsStoreEras
from fulmarward_router.mesh.tests.test_members import make_heartbeat
from fulmarward_router.tests._poison import make_poison_knowledge
from fulmarward_router.tests._target_limits import (
    make_leaving_targets,
    make_target_limits,
)

_VERSION = make_store_version(3, 114)


def _make_messages(version):
    row = RowSnapshot(key="k", version=version, value=b"v")
    heartbeat = make_heartbeat("one", targets_version=version)
    return [
        heartbeat,
        FleetReport(
            heartbeat=heartbeat,
            is_full=True,
            members=(),
            ages=(),
            loads=(),
            included=(),
            losses=(),
            refusing=(),
        ),
        FetchTargets(after=version),
        TargetChanges(after=version, version=version, age_ms=0, rows=(row,)),
        ConfigurationSnapshot(row=row),
        CompressedConfiguration(key="k", version=version, packed=b"v"),
    ]


class RemoveErasTest(unittest.TestCase):
    def test_releases_without_eras_get_the_numbers_of_the_store(self):
        """Guards against a version that such a release asks the store for."""
        for message, expected in zip(
            _make_messages(_VERSION), _make_messages(114), strict=True
        ):
            with self.subTest(type(message).__name__):
                self.assertEqual(remove_eras(message), expected)
                self.assertEqual(
                    encode_message(remove_eras(message)), encode_message(expected)
                )


class _State:
    """Knows changes of targets up to a version of era 3, and kept rows."""

    def __init__(self):
        self.fetches = []

    def answer(self, fetch):
        self.fetches.append(("eras", fetch.after))
        return self.make_kept_changes()

    def answer_without_eras(self, fetch):
        self.fetches.append(("numbers", fetch.after))
        return self.make_kept_changes()

    def make_kept_changes(self):
        return TargetChanges(after=_VERSION, version=0, age_ms=0, rows=())

    def merge_heartbeat(self, heartbeat, *, delay_s):
        return [FetchTargets(after=_VERSION)]

    def handle_link_closed(self, peer):
        pass


class _Link:
    """An accepted link on which a peer sends `messages`."""

    remote_address = ("10.0.0.1", 1)

    def __init__(self, messages):
        self._messages = messages
        self.sent = []

    async def __aiter__(self):
        for message in self._messages:
            yield encode_message(message)

    async def send(self, data):
        self.sent.append(decode_message(data))


class LinkTest(unittest.IsolatedAsyncioTestCase):
    async def exchange(self, *messages):
        """Return what is sent to a peer that sends `messages`, and its fetches."""
        own = make_heartbeat("own").sender
        state = _State()
        mesh = Mesh(
            poison=make_poison_knowledge(),
            limits=make_target_limits(),
            leaving=make_leaving_targets(),
            own=own,
            members=MemberTable(own=own),
            state=state,
            read_clock=time.monotonic,
            count_bytes=lambda direction, size: None,
        )
        link = _Link(messages)
        await mesh.accept(link)
        return link.sent, state.fetches

    async def test_peer_of_an_older_release_is_sent_and_sends_numbers(self):
        """Guards against a rolling update in which one release misreads the other."""
        sent, fetches = await self.exchange(
            make_heartbeat("old", targets_version=120), FetchTargets(after=120)
        )
        changes = TargetChanges(after=114, version=0, age_ms=0, rows=())
        self.assertEqual(sent, [FetchTargets(after=114), changes])
        self.assertEqual(fetches, [("numbers", 120)])

    async def test_peer_that_knows_eras_is_sent_them_and_what_was_kept(self):
        """Guards against an instance that starts after the loss and knows the copy."""
        sent, fetches = await self.exchange(
            SupportsStoreEras(sender="new"),
            make_heartbeat("new", targets_version=_VERSION),
            FetchTargets(after=_VERSION),
        )
        kept = TargetChanges(after=_VERSION, version=0, age_ms=0, rows=())
        expected = [SupportsStoreEras(sender="own"), kept, FetchTargets(after=_VERSION)]
        self.assertEqual(sent, [*expected, kept])
        self.assertEqual(fetches, [("eras", _VERSION)])
