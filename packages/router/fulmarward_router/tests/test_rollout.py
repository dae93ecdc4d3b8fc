import unittest

import cbor2
from msgspec.structs import replace

from fulmarward_core.spread._transfers import TRANSFER_TIMEOUT_S
from fulmarward_router.mesh import (
    FetchCompressedConfiguration,
    FetchConfiguration,
    decode_message,
    encode_message,
)
from fulmarward_router.ports import Row
from fulmarward_router.tests._coroutines import run_at_once
from fulmarward_router.tests.test_instance_state import Peer

#: Messages of a release without compression: the fetch has the version of its sender,
#: and the answer has the row.
_OLD_FETCH = [2, 0]
_OLD_SNAPSHOT = [3, ["config", 4, b"7"]]


def _encode_to_values(message):
    return cbor2.loads(encode_message(message))


class RolloutTest(unittest.TestCase):
    def setUp(self):
        self.one, self.two = Peer("one"), Peer("two")
        row = Row(key="config", version=4, value=b"7")
        run_at_once(self.two.configuration.apply_row(row, source="store"))

    def test_old_and_new_releases_send_each_other_the_configuration(self):
        # During a rolling update, the operator revokes a key. A new instance rejected
        # the fetch of an old one as damaged; a new one asked an old one in vain, and
        # the next peer a second later. The key was accepted until an instance of the
        # same release, or the store, sent the new version. The cause: both messages
        # kept their numbers but had other fields, and a message with a different number
        # of fields is refused.
        heartbeat = self.two.instance_state.make_heartbeat()
        fetches = [
            _encode_to_values(item)
            for item in self.one.instance_state.merge_heartbeat(heartbeat)
        ]
        self.assertEqual(fetches, [_OLD_FETCH])
        self.one.instance_state.merge_snapshot(
            decode_message(cbor2.dumps(_OLD_SNAPSHOT))
        )
        self.assertEqual(self.one.configuration.version, 7)
        fetch = decode_message(cbor2.dumps(_OLD_FETCH))
        answer = self.two.instance_state.answer(fetch)
        self.assertEqual(_encode_to_values(answer), _OLD_SNAPSHOT)

    def test_new_releases_send_each_other_compressed_configurations(self):
        self.one.record_compression_support(self.two)
        heartbeat = self.two.instance_state.make_heartbeat()
        fetches = [FetchCompressedConfiguration(sender="one", version=0)]
        self.assertEqual(self.one.instance_state.merge_heartbeat(heartbeat), fetches)

    def test_compression_support_does_not_outlive_a_process(self):
        # After a rollback, an old release starts under the name of a newer instance.
        self.one.record_compression_support(self.two)
        heartbeat = self.two.instance_state.make_heartbeat()
        heartbeat = replace(heartbeat, sender=replace(heartbeat.sender, boot=2))
        fetches = [
            _encode_to_values(item)
            for item in self.one.instance_state.merge_heartbeat(heartbeat)
        ]
        self.assertEqual(fetches, [_OLD_FETCH])

    def test_old_releases_do_not_saturate_a_link(self):
        # They all ask at once, and neither name themselves nor acknowledge a row. Those
        # without an answer ask again, or another peer, 0.2 s later.
        row = Row(key="config", version=5, value=b"8".rjust(80_000))
        run_at_once(self.two.configuration.apply_row(row, source="store"))
        fetch = FetchConfiguration(version=0)
        answers = [self.two.instance_state.answer(fetch) for _ in range(9)]
        self.assertEqual(len([item for item in answers if item is not None]), 1)
        self.two.now += TRANSFER_TIMEOUT_S
        self.assertIsNotNone(self.two.instance_state.answer(fetch))
