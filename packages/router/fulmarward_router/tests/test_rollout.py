import unittest

import cbor2

from fulmarward_router.mesh import decode_message, encode_message
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
        # until one of the same code, or the store, tells of the new version.
        beat = self.two.knowledge.make_beat()
        questions = [_encode_plain(q) for q in self.one.knowledge.take_beat(beat)]
        self.assertEqual(questions, [_OLD_QUESTION])
        self.one.knowledge.take_news(decode_message(cbor2.dumps(_OLD_NEWS)))
        self.assertEqual(self.one.configuration.version, 7)
        question = decode_message(cbor2.dumps(_OLD_QUESTION))
        answer = self.two.knowledge.answer(question)
        self.assertEqual(_encode_plain(answer), _OLD_NEWS)
