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
from fulmarward_router.tests.test_knowledge import Peer

#: What an instance of the code before rows travelled packed sends and reads: it asks
#: with the version that it has, and is answered with the row.
_OLD_QUESTION = [2, 0]
_OLD_NEWS = [3, ["config", 4, b"7"]]


def _encode_plain(message):
    return cbor2.loads(encode_message(message))


class RolloutTest(unittest.TestCase):
    def setUp(self):
        self.one, self.two = Peer("one"), Peer("two")
        row = Row(key="config", version=4, value=b"7")
        self.two.configuration.take_row(row, source="store", now=100.0)

    def test_instances_of_the_code_before_and_new_ones_tell_each_other(self):
        # Instances are replaced one by one and the operator revokes a key. One that is
        # not replaced yet asks a new one, which took the question for damaged; a new
        # one asks an old one in vain, and the next a second later. The key is served
        # until one of the same code, or the store, tells of the new version. The cause:
        # both messages had other fields under the numbers that they had before, and a
        # message with another number of fields is refused.
        heartbeat = self.two.knowledge.make_heartbeat()
        questions = [
            _encode_plain(q) for q in self.one.knowledge.merge_heartbeat(heartbeat)
        ]
        self.assertEqual(questions, [_OLD_QUESTION])
        self.one.knowledge.merge_snapshot(decode_message(cbor2.dumps(_OLD_NEWS)))
        self.assertEqual(self.one.configuration.version, 7)
        question = decode_message(cbor2.dumps(_OLD_QUESTION))
        answer = self.two.knowledge.answer(question)
        self.assertEqual(_encode_plain(answer), _OLD_NEWS)

    def test_new_instances_tell_each_other_packed(self):
        self.one.meet(self.two)
        heartbeat = self.two.knowledge.make_heartbeat()
        asked = [FetchCompressedConfiguration(sender="one", version=0)]
        self.assertEqual(self.one.knowledge.merge_heartbeat(heartbeat), asked)

    def test_process_is_asked_as_it_understands_whatever_the_one_before_it_did(self):
        # A rollout is taken back: under the name of a new instance starts an old one.
        self.one.meet(self.two)
        heartbeat = self.two.knowledge.make_heartbeat()
        heartbeat = replace(heartbeat, sender=replace(heartbeat.sender, boot=2))
        questions = [
            _encode_plain(q) for q in self.one.knowledge.merge_heartbeat(heartbeat)
        ]
        self.assertEqual(questions, [_OLD_QUESTION])

    def test_instances_of_the_code_before_fill_no_link(self):
        # They all ask at once, and say neither who they are nor that a row has come;
        # those without an answer ask again, or somebody else, 0.2 s later.
        row = Row(key="config", version=5, value=b"8".rjust(80_000))
        self.two.configuration.take_row(row, source="store", now=100.0)
        question = FetchConfiguration(version=0)
        told = [self.two.knowledge.answer(question) for _ in range(9)]
        self.assertEqual(len([news for news in told if news is not None]), 1)
        self.two.now += TRANSFER_TIMEOUT_S
        self.assertIsNotNone(self.two.knowledge.answer(question))
